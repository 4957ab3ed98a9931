/**
 * Learns for how long an idle connection can be reused, from what servers announce and
 * from connections that turned out to be closed.
 *
 * A server, or a device on the path to it, may drop connections earlier than announced
 * and without notice. The next request on such a connection is reset, it is unknown
 * whether it has run, and a request that must not run twice is lost. Servers of one pool
 * behave alike, so one dead connection indicates the maximum idle time for the others.
 *
 * @module
 */

/** Maximum idle time in milliseconds, whatever a server announces. */
const MAX_LIMIT_MS = 60_000;
/**
 * Minimum limit in milliseconds. Busy connections are reused within this time, so a lower
 * limit would have no effect.
 */
const MIN_LIMIT_MS = 50;
/**
 * Fraction of a dead connection's idle time up to which others are reused, as it may have
 * been dropped at any time since its last answer.
 */
const SAFE_FRACTION = 0.5;
/**
 * Milliseconds after which the limit is doubled. Each doubling risks one request, so it
 * happens no more often than callers would notice.
 */
const DOUBLE_AFTER_MS = 4000;

/** Tracks for how long idle connections to the servers of one pool can be reused. */
export class IdleLifetime {
  #limitMs = MAX_LIMIT_MS;
  #changedAt = Number.NEGATIVE_INFINITY;

  /**
   * Returns the idle time in milliseconds after which a connection is not reused.
   *
   * @example
   * ```ts
   * const lifetime = new IdleLifetime();
   * lifetime.recordDead(1000, 0);
   * lifetime.getLimitMs(0); // 500
   * ```
   */
  getLimitMs(now: number): number {
    while (this.#limitMs < MAX_LIMIT_MS && this.#isDoubledAt(now)) {
      this.#limitMs = Math.min(MAX_LIMIT_MS, this.#limitMs * 2);
      this.#changedAt += DOUBLE_AFTER_MS;
    }
    return this.#limitMs;
  }

  /** Records that a connection was found dead after `idleMs` of idle time. */
  recordDead(idleMs: number, now: number): void {
    const limitMs = Math.max(MIN_LIMIT_MS, idleMs * SAFE_FRACTION);
    this.#limitMs = Math.min(this.getLimitMs(now), limitMs);
    this.#changedAt = now;
  }

  #isDoubledAt(now: number): boolean {
    return now - this.#changedAt >= DOUBLE_AFTER_MS;
  }
}
