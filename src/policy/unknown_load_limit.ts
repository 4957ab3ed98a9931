/**
 * Limits what an entry sends to a pool whose load is unknown.
 *
 * When all processes restart at once, every caller whose request was lost or refused
 * meanwhile retries within a second. No entry knows what the others send, as the deciders
 * of the rank groups have just started, too. If each entry assumed an idle pool, together
 * they would fill all of it and queue as many requests again: passes would exceed the
 * tolerated pause, and for three seconds all answers would be late, those of new requests
 * as well. Until loads are reported, each entry uses its share of the pool's concurrency.
 *
 * @module
 */

/**
 * Ratio of the requests that all entries together may send to the pool's concurrency.
 * Callers are spread unevenly over entries, so less than half of the allowance is used: a
 * factor of 0.75 filled 31 of 80 slots and refused requests that could have run;
 * without a limit 111 requests were sent.
 */
const OVERCOMMIT_FACTOR = 1.25;

/** A pool without a recent load report. */
export interface UnreportedPool {
  /** Requests that all targets of the pool run at once. */
  readonly concurrency: number;
  /** Number of entries that send to the pool; undefined while it is unknown. */
  readonly entries: number | undefined;
}

/**
 * Returns the number of requests that one entry may have at the pool, at least one.
 *
 * @example
 * ```ts
 * getUnknownLoadLimit({ concurrency: 80, entries: 35 }); // 3
 * ```
 */
export function getUnknownLoadLimit(
  { concurrency, entries }: UnreportedPool,
): number {
  if (entries === undefined || entries <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(1, Math.ceil(OVERCOMMIT_FACTOR * concurrency / entries));
}
