/**
 * How much an entry sends to a pool of whose load it knows nothing.
 *
 * The pattern: a whole fleet starts anew at once. All callers whose requests were lost or
 * refused meanwhile come back within a second, and no entry knows yet what the others send,
 * since the deciders of the rank groups have just started, too. Each entry takes the pool for
 * idle; all together they fill every place and queue as much again, passes take longer than
 * the pause that callers bear, and for three seconds all answers are late, those of new
 * requests as well. Until loads are told each entry takes its share of the places.
 *
 * @module
 */

/**
 * Part of all places that entries may send blindly together. Callers are spread unevenly
 * over entries, so less than half of what they may send is sent: with 0.75, 31 of 80 places
 * were taken and requests refused that could have run; without a limit 111 were sent.
 */
const BLIND_PART = 1.25;

/** A pool of whose load nothing was told lately. */
export interface BlindPool {
  /** Requests that all its targets run at once. */
  readonly places: number;
  /** Entries that send to it; undefined while that is not known. */
  readonly entries: number | undefined;
}

/**
 * Requests that one entry may have at the pool, at least one.
 *
 * @example
 * ```ts
 * getBlindLimit({ places: 80, entries: 35 }); // 3
 * ```
 */
export function getBlindLimit({ places, entries }: BlindPool): number {
  if (entries === undefined || entries <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(1, Math.ceil(BLIND_PART * places / entries));
}
