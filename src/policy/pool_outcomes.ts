/**
 * Counts how the recent requests of each pool ended, to tell how likely a request is to
 * lose its target for reasons that lie outside of it.
 *
 * @module
 */

import type { Crash } from "./crash_history.ts";

/** Maximum number of answers, and of crashed targets, to remember for one pool. */
const MAX_OUTCOMES = 64;
/** Maximum number of pools; the least recently used one is forgotten first. */
const MAX_POOLS = 256;

interface CrashedTarget {
  /** When the last request was lost there, in milliseconds. */
  readonly endedAt: number;
  /** The parts of all requests that were lost there. */
  readonly parts: ReadonlySet<string>;
}

interface Outcomes {
  /** When requests were answered, in milliseconds, earliest first. */
  readonly answeredAt: number[];
  /** Targets that crashed under requests, the latest last. */
  readonly crashed: Map<string, CrashedTarget>;
}

/** Requests that ended in a span of time. */
export interface OutcomeCounts {
  /** Requests that were answered. */
  readonly answered: number;
  /** Targets that crashed. */
  readonly crashed: number;
}

/** Counts how the recent requests of each pool ended at this entry. */
export class PoolOutcomes {
  /** Outcomes by pool, the most recently used last. */
  readonly #byPool = new Map<string, Outcomes>();

  /** Records that a request to a pool was answered. */
  recordAnswered(pool: string, now: number): void {
    const { answeredAt } = this.#use(pool);
    answeredAt.push(now);
    if (answeredAt.length > MAX_OUTCOMES) answeredAt.shift();
  }

  /** Records that a target of a pool crashed under a request with these parts. */
  recordCrashed(
    pool: string,
    { target, endedAt }: Crash,
    parts: readonly string[],
  ): void {
    const { crashed } = this.#use(pool);
    const known = crashed.get(target);
    crashed.delete(target);
    const all = new Set([...known?.parts ?? [], ...parts]);
    crashed.set(target, { endedAt, parts: all });
    const [oldest] = crashed.keys();
    if (crashed.size > MAX_OUTCOMES && oldest !== undefined) {
      crashed.delete(oldest);
    }
  }

  /**
   * Counts the answers of a pool since a time, and the targets that crashed since then
   * under requests without a part.
   *
   * @example
   * ```ts
   * const { answered } = outcomes.countWithout(part, "pool", now - 60_000);
   * ```
   */
  countWithout(part: string, pool: string, since: number): OutcomeCounts {
    const { answeredAt, crashed } = this.#byPool.get(pool) ?? createOutcomes();
    const others = [...crashed.values()].filter(({ endedAt, parts }) =>
      endedAt >= since && !parts.has(part)
    );
    return {
      answered: answeredAt.filter((at) => at >= since).length,
      crashed: others.length,
    };
  }

  #use(pool: string): Outcomes {
    const outcomes = this.#byPool.get(pool) ?? createOutcomes();
    this.#byPool.delete(pool);
    this.#byPool.set(pool, outcomes);
    const [oldest] = this.#byPool.keys();
    if (this.#byPool.size > MAX_POOLS && oldest !== undefined) {
      this.#byPool.delete(oldest);
    }
    return outcomes;
  }
}

function createOutcomes(): Outcomes {
  return { answeredAt: [], crashed: new Map() };
}
