/**
 * Chooses the pool of a request whose service is shared by several pools.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { ServiceDocument } from "../messages/settings_documents.ts";

/** Number of steps into which the range of random numbers is divided. */
const RANDOM_STEPS = 1_000_000;

/** Chooses pools at random by their weights. */
export class PoolChoice {
  readonly #random: RandomSource;

  /** Uses `random` as the source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Returns the pool that serves the next request.
   *
   * @example
   * ```ts
   * const pool = pools.choose(route.service);
   * ```
   */
  choose(service: ServiceDocument): string {
    const { split, pool } = service;
    if (split === undefined) return pool;
    const total = split.reduce((sum, share) => sum + share.weight, 0);
    let remaining = this.#random.nextBelow(RANDOM_STEPS) / RANDOM_STEPS * total;
    for (const share of split) {
      remaining -= share.weight;
      if (remaining < 0) return share.pool;
    }
    return pool;
  }
}
