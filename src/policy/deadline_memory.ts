/**
 * Tells callers that come back from those that ask for the first time, by the time that
 * they have left.
 *
 * The pattern: during an outage requests arrive that were refused or cut off before,
 * among others that were not. The first kind asks no more, so it should wait; the second
 * should come back later. Nothing in a request says which it is, but one that was sent
 * away has spent a part of its deadline. Callers' deadlines differ by a sixth among
 * themselves and operators change what they allow, so the usual deadline is learnt.
 *
 * @module
 */

/**
 * Part of the longest deadline seen below which a caller has spent time before: those
 * that were told to come back have two thirds left at most, and callers that ask for the
 * first time were seen to give 0.85 to 1 of the longest.
 */
const FRESH_PART = 0.75;
/** Milliseconds for which deadlines are gathered before older ones are forgotten. */
const WINDOW_MS = 10_000;
/** Deadlines without which a window says nothing. */
const FEWEST_SEEN = 5;

/** The longest deadlines that callers of one service gave lately. */
export class DeadlineMemory {
  #startedAt: number;
  /** Longest of the window before this one. */
  #longestBefore: number;
  #longest = 0;
  #seen = 0;

  /** Begins with the longest deadline that the service's settings allow. */
  constructor(allowedMs: number, now: number) {
    this.#longestBefore = allowedMs;
    this.#startedAt = now;
  }

  /**
   * Takes in the deadline of a request; returns whether its caller has spent a part of
   * its time before.
   *
   * @example
   * ```ts
   * const deadlines = new DeadlineMemory(8000, 0);
   * deadlines.observe(7100, 0); // false
   * deadlines.observe(5200, 0); // true
   * ```
   */
  observe(deadlineMs: number, now: number): boolean {
    this.#startAnew(now);
    this.#seen++;
    this.#longest = Math.max(this.#longest, deadlineMs);
    const longest = Math.max(this.#longest, this.#longestBefore);
    return deadlineMs < FRESH_PART * longest;
  }

  #startAnew(now: number): void {
    const isOver = now - this.#startedAt >= WINDOW_MS;
    if (!isOver || this.#seen < FEWEST_SEEN) return;
    this.#longestBefore = this.#longest;
    this.#longest = 0;
    this.#seen = 0;
    this.#startedAt = now;
  }
}
