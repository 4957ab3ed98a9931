/**
 * What one entry knows of one target.
 *
 * @module
 */

/** A target as the choice of a target sees it. */
export interface TargetView {
  readonly name: string;
  readonly failureDomain: string;
  /** Requests that the back end runs at once. */
  readonly concurrency: number;
  /** Requests of this entry that the target has. */
  readonly ownInFlight: number;
  /** Queued and running requests by the target's last word. */
  readonly reportedLoad: number;
  /** How many of those were this entry's own when the word was given. */
  readonly ownInReport: number;
  /** When the last word arrived, in milliseconds. */
  readonly reportedAt: number;
  /** Share of recent attempts that failed or were refused, from 0 to 1. */
  readonly failureShare: number;
  /** Time to first byte of recent answers against the pool's, 1 is usual. */
  readonly slowness: number;
  /** When this target last answered anything, in milliseconds. */
  readonly answeredAt: number;
  /** Until when a connection of ours to it is thought to be idle, in milliseconds. */
  readonly idleConnectionUntil: number;
  /** When the oldest request that waits for a first byte was sent. */
  readonly waitingSince: number | undefined;
}
