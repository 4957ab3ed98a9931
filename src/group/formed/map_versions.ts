/**
 * Versions of maps, given by deciders that may know nothing of each other.
 *
 * @module
 */
import { Debug } from "../../core/debug.ts";
import type { RandomSource } from "../../core/random_source.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

/**
 * Versions of one decider come from a block of their own, at a random place: two
 * deciders that know nothing of each other do not give one number to two maps.
 */
const VERSION_BLOCK = 2 ** 16;
const RANDOM_OFFSETS = 2 ** 14;

/** Versions that one decider gives. */
export class MapVersions {
  readonly #random: RandomSource;
  #highest = 0;
  #lastIssued: number | undefined;

  /** No version has been seen yet. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Takes in the versions that a rank knows. */
  record(state: RankState): void {
    this.#highest = Math.max(
      this.#highest,
      state.activeVersion,
      state.preparedVersion ?? 0,
      state.armed?.version ?? 0,
    );
  }

  /** A rank knows a higher version that it does not tell yet. */
  skip(): void {
    this.#highest += VERSION_BLOCK;
  }

  /**
   * A version above all that were seen, that nobody else gives.
   *
   * @example
   * ```ts
   * const version = versions.next();
   * ```
   */
  next(): number {
    const isAhead = this.#lastIssued !== undefined &&
      this.#lastIssued >= this.#highest;
    const block = Math.floor(this.#highest / VERSION_BLOCK) + 1;
    const version = isAhead
      ? Debug.getDefined(this.#lastIssued, "Ahead of all others") + 1
      : block * VERSION_BLOCK + this.#random.nextBelow(RANDOM_OFFSETS);
    this.#lastIssued = version;
    return version;
  }
}
