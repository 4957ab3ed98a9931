/**
 * Allocates versions of maps for deciders that may not know of each other.
 *
 * @module
 */
import { Debug } from "../../core/debug.ts";
import type { RandomSource } from "../../core/random_source.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

/**
 * Number of versions in a block. Each decider allocates versions from its own block,
 * starting at a random offset, so that two deciders that do not know of each other do not
 * use one version for two maps.
 */
const VERSION_BLOCK = 2 ** 16;
const RANDOM_OFFSETS = 2 ** 14;

/** Allocates the versions of one decider. */
export class MapVersions {
  readonly #random: RandomSource;
  #highest = 0;
  #lastIssued: number | undefined;

  /** Starts without any known version. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Records the versions that a rank knows. */
  record(state: RankState): void {
    this.#highest = Math.max(
      this.#highest,
      state.activeVersion,
      state.preparedVersion ?? 0,
      state.armed?.version ?? 0,
    );
  }

  /** Skips a block, since a rank knows a higher version that it does not report yet. */
  skip(): void {
    this.#highest += VERSION_BLOCK;
  }

  /**
   * Returns a version above all recorded ones that no other decider allocates.
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
      ? Debug.getDefined(this.#lastIssued, "A version was allocated") + 1
      : block * VERSION_BLOCK + this.#random.nextBelow(RANDOM_OFFSETS);
    this.#lastIssued = version;
    return version;
  }
}
