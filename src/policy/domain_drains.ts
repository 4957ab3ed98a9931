/**
 * Which failure domains are drained, and how much of the load one takes whose drain has
 * just ended. Connections and caches there are cold, and all the load at once would
 * overload it.
 *
 * @module
 */
/** Milliseconds in which a failure domain takes up its whole load after a drain. */
export const RETURN_MS = 3000;

/** What a set of drained failure domains has changed. */
export interface DrainChange {
  /** Failure domains whose drain begins. */
  readonly begun: readonly string[];
  /** Failure domains whose drain ends. */
  readonly ended: readonly string[];
}

/** Which failure domains are drained. */
export class DomainDrains {
  #drained: ReadonlySet<string> = new Set();
  #changedAt = Number.NEGATIVE_INFINITY;
  /** When the drains of those ended that do not take their whole load yet. */
  readonly #endedAt = new Map<string, number>();

  /** The drained failure domains. */
  get drained(): ReadonlySet<string> {
    return this.#drained;
  }

  /** When the set changed last, in milliseconds. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /**
   * These failure domains are drained from now on, and no others.
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

  /** Whether no failure domain is drained or returns from a drain. */
  isIdle(now: number): boolean {
    for (const [name, endedAt] of this.#endedAt) {
      if (now - endedAt >= RETURN_MS) this.#endedAt.delete(name);
    }
    return this.#drained.size + this.#endedAt.size === 0;
  }

  /** Fraction of requests for which a target there is a candidate, from 0 to 1. */
  getShare(failureDomain: string, now: number): number {
    if (this.#drained.has(failureDomain)) return 0;
    const endedAt = this.#endedAt.get(failureDomain);
    if (endedAt === undefined) return 1;
    return Math.min(1, Math.max(0, (now - endedAt) / RETURN_MS));
  }
}
