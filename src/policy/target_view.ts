/**
 * The state of one target as known to one entry.
 *
 * @module
 */

/** A target as known to a target choice. */
export interface TargetView {
  readonly name: string;
  readonly failureDomain: string;
  /** Requests that the back end runs at once. */
  readonly concurrency: number;
  /** Requests of this entry that are in flight at the target. */
  readonly ownInFlight: number;
  /** Queued and running requests in the target's last report. */
  readonly reportedLoad: number;
  /** Number of those requests that were this entry's own. */
  readonly ownInReport: number;
  /** When the last report arrived, in milliseconds. */
  readonly reportedAt: number;
  /** Share of recent attempts that failed or were refused, from 0 to 1. */
  readonly failureShare: number;
  /** Time to first byte of recent answers relative to the pool's; 1 is usual. */
  readonly slowness: number;
  /** When the target last answered any request, in milliseconds. */
  readonly answeredAt: number;
  /** Until when an idle connection to the target is assumed to exist, in milliseconds. */
  readonly idleConnectionUntil: number;
  /** When the oldest request that waits for a first byte was sent, in milliseconds. */
  readonly waitingSince: number | undefined;
}
