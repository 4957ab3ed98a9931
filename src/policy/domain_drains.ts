/**
 * Tracks which failure domains are drained, and how much load a domain receives after its
 * drain has ended. Its connections and caches are cold then, so all of the load at once
 * would overload it.
 *
 * @module
 */

/** Milliseconds over which a failure domain returns to its full load after a drain. */
export const RAMP_UP_MS = 3000;

/** The difference between two sets of drained failure domains. */
export interface DrainChange {
  /** Failure domains whose drain begins. */
  readonly begun: readonly string[];
  /** Failure domains whose drain ends. */
  readonly ended: readonly string[];
}

/** Tracks which failure domains are drained. */
export class DomainDrains {
  #drained: ReadonlySet<string> = new Set();
  #changedAt = Number.NEGATIVE_INFINITY;
  /**
   * When the drain ended, for failure domains that have not returned to their full load.
   */
  readonly #endedAt = new Map<string, number>();

  /** The drained failure domains. */
  get drained(): ReadonlySet<string> {
    return this.#drained;
  }

  /** When the set last changed, in milliseconds. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /**
   * Replaces the set of drained failure domains; returns the difference.
   *
   * @example
   * ```ts
   * const { begun, ended } = drains.set(["a"], now);
   * ```
   */
  set(failureDomains: readonly string[], now: number): DrainChange {
    const before = this.#drained;
    this.#drained = new Set(failureDomains);
    const begun = [...this.#drained].filter((name) => !before.has(name));
    const ended = [...before].filter((name) => !this.#drained.has(name));
    if (begun.length + ended.length > 0) this.#changedAt = now;
    for (const name of begun) this.#endedAt.delete(name);
    for (const name of ended) this.#endedAt.set(name, now);
    return { begun, ended };
  }

  /** Whether no failure domain is drained or ramping up after a drain. */
  isIdle(now: number): boolean {
    for (const [name, endedAt] of this.#endedAt) {
      if (now - endedAt >= RAMP_UP_MS) this.#endedAt.delete(name);
    }
    return this.#drained.size + this.#endedAt.size === 0;
  }

  /**
   * Returns the fraction of requests for which a target in the domain is a candidate,
   * from 0 to 1.
   */
  getShare(failureDomain: string, now: number): number {
    if (this.#drained.has(failureDomain)) return 0;
    const endedAt = this.#endedAt.get(failureDomain);
    if (endedAt === undefined) return 1;
    return Math.min(1, Math.max(0, (now - endedAt) / RAMP_UP_MS));
  }
}
