/**
 * For how long a connection without a request can be used again, learnt from what
 * servers say and from connections that were found dead.
 *
 * The pattern: a server (or something on the way to it) forgets connections sooner than
 * it promised and without a word. What is sent next on one is reset, nobody knows whether
 * it has run, and a request that may not run twice is lost. Servers of one pool are alike,
 * so one dead connection says how old the others of the pool may get.
 *
 * @module
 */

/** Longest time that is believed, whatever a server promises, in milliseconds. */
const LONGEST_MS = 60_000;
/** Shortest limit, below which connections are in use again before it matters. */
const SHORTEST_MS = 50;
/**
 * Part of the age of a dead connection up to which others are used: it may have died at
 * any time since its last answer.
 */
const SAFE_PART = 0.5;
/**
 * Milliseconds after which the limit is doubled again. Each doubling puts one request at
 * risk, so it is not done more often than callers would notice.
 */
const DOUBLE_AFTER_MS = 4000;

/** For how long idle connections to the servers of one pool can be used. */
export class IdleLifetime {
  #limitMs = LONGEST_MS;
  #changedAt = Number.NEGATIVE_INFINITY;

  /**
   * Milliseconds without a request after which a connection is not used any more.
   *
   * @example
   * ```ts
   * const lifetime = new IdleLifetime();
   * lifetime.noteDead(1000, 0);
   * lifetime.getLimitMs(0); // 500
   * ```
   */
  getLimitMs(now: number): number {
    while (this.#limitMs < LONGEST_MS && this.#isDoubledAt(now)) {
      this.#limitMs = Math.min(LONGEST_MS, this.#limitMs * 2);
      this.#changedAt += DOUBLE_AFTER_MS;
    }
    return this.#limitMs;
  }

  /** A connection that had rested for so long was found dead. */
  noteDead(restedMs: number, now: number): void {
    const limitMs = Math.max(SHORTEST_MS, restedMs * SAFE_PART);
    this.#limitMs = Math.min(this.getLimitMs(now), limitMs);
    this.#changedAt = now;
  }

  #isDoubledAt(now: number): boolean {
    return now - this.#changedAt >= DOUBLE_AFTER_MS;
  }
}
