/**
 * Estimates the current popularity of a group's experts from the token counts that each
 * rank accumulates since its engine started.
 *
 * @module
 */
import type { ExpertCounts } from "../../messages/formed_group_types.ts";

/**
 * Time constant of the exponential decay of counts, in milliseconds. Popularity changes
 * every few seconds, and a copy takes effect half a second after it is planned.
 */
const DECAY_MS = 350;
/** Length in milliseconds of the interval whose counts are compared with earlier ones. */
const COMPARISON_INTERVAL_MS = 100;
/**
 * Minimum mean count per expert for a comparison, so that noise is not taken as a
 * change.
 */
const MIN_COMPARED_TOKENS = 20;
/**
 * Cosine similarity of the counts per expert below which popularity is considered changed
 * and earlier counts are discarded. The counts of an unchanged popularity differ only by
 * noise.
 */
const MIN_SIMILARITY = 0.9;

/** Estimates the current popularity of a group's experts. */
export class Popularity {
  /** The last counts of each rank. */
  readonly #counts = new Map<number, ExpertCounts>();
  /** Decayed tokens by layer and expert, without those in {@link #recent}. */
  #tokens: number[][] = [];
  /** Tokens by layer and expert that have not been compared with earlier ones yet. */
  #recent: number[][] = [];
  #comparedAt: number | undefined;
  #changes = 0;

  /** Number of changes of popularity that were detected. */
  get changes(): number {
    return this.#changes;
  }

  /** Decayed tokens by layer and expert. */
  get tokens(): readonly (readonly number[])[] {
    return sumOf(this.#tokens, this.#recent);
  }

  /** Whether any tokens were counted. */
  get isKnown(): boolean {
    return this.#tokens.length > 0 || this.#recent.length > 0;
  }

  /** Clears all counts, since the engines restart. */
  clear(): void {
    this.#counts.clear();
    this.#tokens = [];
    this.#recent = [];
    this.#comparedAt = undefined;
  }

  /**
   * Records the counts of a rank since its engine started.
   *
   * @example
   * ```ts
   * popularity.observe(3, counts, now);
   * ```
   */
  observe(rank: number, counts: ExpertCounts, now: number): void {
    this.#compareRecent(now);
    const previous = this.#counts.get(rank);
    this.#counts.set(rank, counts);
    // The first counts of a rank may cover any period.
    if (previous === undefined) return;
    // An engine that has restarted counts from zero.
    this.#add(
      counts.map((row, layer) =>
        row.map((count, expert) =>
          Math.max(0, count - (previous[layer]?.[expert] ?? 0))
        )
      ),
    );
  }

  /** Records the increase of a rank's counts since the last observation. */
  observeIncrease(rank: number, added: ExpertCounts, now: number): void {
    this.#compareRecent(now);
    this.#add(added);
    const previous = this.#counts.get(rank);
    if (previous === undefined) return;
    const counts = previous.map((row, layer) =>
      row.map((count, expert) => count + (added[layer]?.[expert] ?? 0))
    );
    this.#counts.set(rank, counts);
  }

  #add(added: ExpertCounts): void {
    for (const [layer, row] of added.entries()) {
      const tokens = this.#recent[layer] ??= new Array(row.length).fill(0);
      for (const [expert, count] of row.entries()) {
        tokens[expert] = (tokens[expert] as number) + count;
      }
    }
  }

  /** Adds recent counts to the earlier ones; replaces those if popularity has changed. */
  #compareRecent(now: number): void {
    this.#comparedAt ??= now;
    const elapsedMs = now - this.#comparedAt;
    if (elapsedMs < COMPARISON_INTERVAL_MS) return;
    this.#comparedAt = now;
    const hasChanged = areComparable(this.#recent) &&
      areComparable(this.#tokens) &&
      getSimilarity(this.#recent, this.#tokens) < MIN_SIMILARITY;
    if (hasChanged) this.#changes++;
    const earlier = hasChanged ? [] : decay(this.#tokens, elapsedMs);
    const recent = decay(this.#recent, elapsedMs - COMPARISON_INTERVAL_MS);
    this.#tokens = sumOf(earlier, recent);
    this.#recent = [];
  }
}

function decay(
  tokens: readonly (readonly number[])[],
  milliseconds: number,
): number[][] {
  const factor = Math.exp(-milliseconds / DECAY_MS);
  return tokens.map((row) => row.map((count) => count * factor));
}

function sumOf(
  one: readonly (readonly number[])[],
  other: readonly (readonly number[])[],
): number[][] {
  const longer = one.length >= other.length ? one : other;
  const shorter = longer === one ? other : one;
  return longer.map((row, layer) =>
    row.map((count, expert) => count + (shorter[layer]?.[expert] ?? 0))
  );
}

function areComparable(tokens: readonly (readonly number[])[]): boolean {
  const [first] = tokens;
  if (first === undefined) return false;
  const total = first.reduce((sum, count) => sum + count, 0);
  return total >= MIN_COMPARED_TOKENS * first.length;
}

/** Mean over the layers, from 0 (no expert in common) to 1 (the same proportions). */
function getSimilarity(
  one: readonly (readonly number[])[],
  other: readonly (readonly number[])[],
): number {
  const similarities = one.map((row, layer) =>
    getCosine(row, other[layer] ?? [])
  );
  return similarities.reduce((sum, value) => sum + value, 0) / one.length;
}

function getCosine(one: readonly number[], other: readonly number[]): number {
  const product = one.reduce(
    (sum, count, expert) => sum + count * (other[expert] ?? 0),
    0,
  );
  const lengths = Math.hypot(...one) * Math.hypot(...other);
  return lengths === 0 ? 1 : product / lengths;
}
