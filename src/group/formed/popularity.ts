/**
 * Which experts the requests of a group choose now, from counts that each rank
 * keeps since its engine started.
 *
 * @module
 */
import type { ExpertCounts } from "../../messages/formed_group_types.ts";

/**
 * Milliseconds in which a choice counts for a third as much. Popularity changes
 * every few seconds, and a copy made for it is in force half a second later.
 */
const DECAY_MS = 350;
/** Milliseconds of choices that are compared with those before them. */
const COMPARISON_INTERVAL_MS = 100;
/** Choices of each expert, in the mean, from which chance does not look like a change. */
const MIN_COMPARED_TOKENS = 20;
/**
 * Likeness, the cosine of the angle between choices by expert, below which popularity is
 * taken for changed, and what was counted before for worthless. Counts of an unchanged
 * popularity differ by chance alone.
 */
const MIN_SIMILARITY = 0.9;

/** Which experts the requests of a group choose now. */
export class Popularity {
  /** The last counts of each rank. */
  readonly #counts = new Map<number, ExpertCounts>();
  /** Tokens by layer and expert before {@link #recent}; older ones count for less. */
  #tokens: number[][] = [];
  /** Tokens that are not compared with those before yet. */
  #recent: number[][] = [];
  #comparedAt: number | undefined;
  #changes = 0;

  /** How often popularity was seen to change. */
  get changes(): number {
    return this.#changes;
  }

  /** Tokens by layer and expert; older ones count for less. */
  get tokens(): readonly (readonly number[])[] {
    return sumOf(this.#tokens, this.#recent);
  }

  /** Whether anything was counted. */
  get isKnown(): boolean {
    return this.#tokens.length > 0 || this.#recent.length > 0;
  }

  /** Forgets all counts: the engines start anew. */
  clear(): void {
    this.#counts.clear();
    this.#tokens = [];
    this.#recent = [];
    this.#comparedAt = undefined;
  }

  /**
   * Takes in what a rank counted since its engine started.
   *
   * @example
   * ```ts
   * popularity.observe(3, counts, now);
   * ```
   */
  observe(rank: number, counts: ExpertCounts, now: number): void {
    this.#compareRecent(now);
    const before = this.#counts.get(rank);
    this.#counts.set(rank, counts);
    // The first counts of a rank may be of any age.
    if (before === undefined) return;
    // An engine that started anew counts from zero.
    this.#add(
      counts.map((row, layer) =>
        row.map((count, expert) =>
          Math.max(0, count - (before[layer]?.[expert] ?? 0))
        )
      ),
    );
  }

  /** Takes in what a rank counted since it was observed last. */
  observeIncrease(rank: number, added: ExpertCounts, now: number): void {
    this.#compareRecent(now);
    this.#add(added);
    const before = this.#counts.get(rank);
    if (before === undefined) return;
    const counts = before.map((row, layer) =>
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

  /** What was counted lately either adds to what was before, or takes its place. */
  #compareRecent(now: number): void {
    this.#comparedAt ??= now;
    const elapsedMs = now - this.#comparedAt;
    if (elapsedMs < COMPARISON_INTERVAL_MS) return;
    this.#comparedAt = now;
    const hasChanged = areComparable(this.#recent) &&
      areComparable(this.#tokens) &&
      getSimilarity(this.#recent, this.#tokens) < MIN_SIMILARITY;
    if (hasChanged) this.#changes++;
    const before = hasChanged ? [] : decay(this.#tokens, elapsedMs);
    const lately = decay(this.#recent, elapsedMs - COMPARISON_INTERVAL_MS);
    this.#tokens = sumOf(before, lately);
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
  const choices = first.reduce((sum, count) => sum + count, 0);
  return choices >= MIN_COMPARED_TOKENS * first.length;
}

/** Mean over the layers; 1: the same parts, 0: no expert in common. */
function getSimilarity(
  one: readonly (readonly number[])[],
  other: readonly (readonly number[])[],
): number {
  const likenesses = one.map((row, layer) =>
    getCosine(row, other[layer] ?? [])
  );
  return likenesses.reduce((sum, likeness) => sum + likeness, 0) / one.length;
}

function getCosine(one: readonly number[], other: readonly number[]): number {
  const product = one.reduce(
    (sum, count, expert) => sum + count * (other[expert] ?? 0),
    0,
  );
  const lengths = Math.hypot(...one) * Math.hypot(...other);
  return lengths === 0 ? 1 : product / lengths;
}
