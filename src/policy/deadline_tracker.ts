/**
 * Distinguishes retries from first attempts by their remaining time.
 *
 * During an outage, requests that were refused or cut off before arrive among first
 * attempts. The caller of such a request does not retry again, so the request should
 * wait, while a first attempt should be retried later. Nothing in a request tells which
 * one it is, but a retry has spent a fraction of its deadline. Deadlines of first
 * attempts vary by up to a sixth, and operators change the allowed deadline, so the usual
 * deadline is learned from requests.
 *
 * @module
 */

/**
 * Fraction of the longest recent deadline below which a request counts as a retry.
 * Retries after a retry delay have at most two thirds left; first attempts have 0.85 to 1
 * of the longest deadline.
 */
const FIRST_ATTEMPT_FRACTION = 0.75;
/** Milliseconds for which deadlines are collected before older ones are discarded. */
const WINDOW_MS = 10_000;
/** Minimum number of deadlines in a window before it replaces the previous one. */
const MIN_DEADLINES = 5;

/** Tracks the longest recent deadline of the requests of one service. */
export class DeadlineTracker {
  #startedAt: number;
  /** Longest deadline of the previous window. */
  #previousLongest: number;
  #longest = 0;
  #count = 0;

  /** Starts with the longest deadline that the service's settings allow. */
  constructor(allowedMs: number, now: number) {
    this.#previousLongest = allowedMs;
    this.#startedAt = now;
  }

  /**
   * Records the deadline of a request; returns whether the request is a retry, whose
   * caller has already spent a fraction of its time.
   *
   * @example
   * ```ts
   * const deadlines = new DeadlineTracker(8000, 0);
   * deadlines.observe(7100, 0); // false
   * deadlines.observe(5200, 0); // true
   * ```
   */
  observe(deadlineMs: number, now: number): boolean {
    this.#rotateWindow(now);
    this.#count++;
    this.#longest = Math.max(this.#longest, deadlineMs);
    const longest = Math.max(this.#longest, this.#previousLongest);
    return deadlineMs < FIRST_ATTEMPT_FRACTION * longest;
  }

  #rotateWindow(now: number): void {
    const hasElapsed = now - this.#startedAt >= WINDOW_MS;
    if (!hasElapsed || this.#count < MIN_DEADLINES) return;
    this.#previousLongest = this.#longest;
    this.#longest = 0;
    this.#count = 0;
    this.#startedAt = now;
  }
}
