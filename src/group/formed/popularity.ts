/**
 * Which experts the requests of a group choose now, from counts that each rank
 * keeps since its engine started.
 *
 * @module
 */
import type { ExpertCounts } from "./types.ts";

/**
 * Milliseconds in which a choice counts for a third as much. Popularity changes
 * every few seconds, and a copy made for it is in force half a second later.
 */
const MEMORY_MS = 350;

/** Which experts the requests of a group choose now. */
export class Popularity {
  /** The last counts of each rank. */
  readonly #counts = new Map<number, ExpertCounts>();
  #tokens: number[][] = [];
  #fadedAt: number | undefined;

  /** Tokens by layer and expert; older ones count for less. */
  get tokens(): readonly (readonly number[])[] {
    return this.#tokens;
  }

  /** Whether anything was counted. */
  get isKnown(): boolean {
    return this.#tokens.length > 0;
  }

  /** Forgets all counts: the engines start anew. */
  clear(): void {
    this.#counts.clear();
    this.#tokens = [];
    this.#fadedAt = undefined;
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
    this.#fade(now);
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
  observeAdded(rank: number, added: ExpertCounts, now: number): void {
    this.#fade(now);
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
      const tokens = this.#tokens[layer] ??= new Array(row.length).fill(0);
      for (const [expert, count] of row.entries()) {
        tokens[expert] = (tokens[expert] as number) + count;
      }
    }
  }

  #fade(now: number): void {
    const elapsed = now - (this.#fadedAt ?? now);
    this.#fadedAt = now;
    if (elapsed <= 0) return;
    const factor = Math.exp(-elapsed / MEMORY_MS);
    this.#tokens = this.#tokens.map((row) =>
      row.map((count) => count * factor)
    );
  }
}
