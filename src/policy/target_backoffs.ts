/**
 * The backoffs that targets ask this entry for.
 *
 * The pattern: a target in trouble refuses a request and names a time in which it wants
 * nothing from whoever sent it. Others may go on sending to it, so each entry keeps the backoffs
 * that it was told itself, and nobody else's.
 *
 * A backoff is kept by the target's name and not with what else is known of the target, which
 * goes when the target drops out of a list for a moment. It runs on the monotonic clock, from
 * when it was heard. A later word prolongs it and never shortens it: the time that was asked
 * for first holds on. An answer of the target within the backoff does not end it, either, since
 * its request was sent before.
 *
 * Once it is over the load comes back over time: other entries were told of backoffs that end
 * at about the same moment, and so were the callers that were sent away meanwhile.
 *
 * @module
 */

/**
 * Longest backoff that one word can bring about, in milliseconds. A target that is in need for
 * longer says so again, and a mistaken word costs no target more than an hour.
 */
export const LONGEST_BACKOFF_MS = 3_600_000;
/** Longest time over which the load comes back, in milliseconds. */
const LONGEST_RETURN_MS = 3000;

/** A word of a target that it wants nothing for a time. */
export interface BackoffRequest {
  readonly target: string;
  /** How long it asks for, in milliseconds. */
  readonly askedMs: number;
  /** When that was heard, in milliseconds. */
  readonly now: number;
}

/** A backoff of a target. */
export interface Backoff {
  readonly target: string;
  /** How long the target asked for, in milliseconds, with the word that holds. */
  readonly askedMs: number;
  /** When it began, in milliseconds. */
  readonly since: number;
  /** When it ends, in milliseconds. */
  readonly until: number;
}

/** A backoff that has ended, and a target whose load comes back. */
interface Return {
  readonly since: number;
  readonly until: number;
}

/** The backoffs that targets ask this entry for. */
export class TargetBackoffs {
  readonly #active = new Map<string, Backoff>();
  readonly #returning = new Map<string, Return>();
  #count = 0;

  /** Targets that are to be sent nothing, as of the last {@link takeEnded}. */
  get size(): number {
    return this.#active.size;
  }

  /** Whether no target is in a backoff or returns from one, as of the last {@link takeEnded}. */
  get isIdle(): boolean {
    return this.#active.size + this.#returning.size === 0;
  }

  /** Backoffs that have begun, over the life of the process. */
  get count(): number {
    return this.#count;
  }

  /**
   * A target asked for a backoff; returns it where it ends later than was known.
   *
   * @example
   * ```ts
   * const backoff = backoffs.note({ target: "i-1", askedMs: 3000, now });
   * ```
   */
  note({ target, askedMs, now }: BackoffRequest): Backoff | undefined {
    const until = now + Math.min(askedMs, LONGEST_BACKOFF_MS);
    const known = this.#tryActive(target, now);
    if (until <= (known?.until ?? now)) return undefined;
    if (known === undefined) this.#count++;
    const backoff = { target, askedMs, since: known?.since ?? now, until };
    this.#active.set(target, backoff);
    this.#returning.delete(target);
    return backoff;
  }

  /** Milliseconds for which a target is to be sent nothing; 0: it may be sent requests. */
  getRemainingMs(target: string, now: number): number {
    const active = this.#tryActive(target, now);
    return active === undefined ? 0 : active.until - now;
  }

  /** Fraction of requests for which a target is a candidate, from 0 to 1. */
  getShare(target: string, now: number): number {
    if (this.#tryActive(target, now) !== undefined) return 0;
    const ended = this.#active.get(target);
    const returning = ended === undefined
      ? this.#returning.get(target)
      : createReturn(ended);
    if (returning === undefined) return 1;
    const { since, until } = returning;
    return Math.min(1, Math.max(0, (now - since) / (until - since)));
  }

  /** Milliseconds over which the load of a target comes back once its backoff has ended. */
  getReturnMs(target: string): number {
    const active = this.#active.get(target);
    if (active === undefined) return 0;
    const { since, until } = createReturn(active);
    return until - since;
  }

  /** Time passed; returns the backoffs that have ended since the last time. */
  takeEnded(now: number): readonly Backoff[] {
    for (const [target, { until }] of this.#returning) {
      if (until <= now) this.#returning.delete(target);
    }
    const ended = [...this.#active.values()].filter(({ until }) =>
      until <= now
    );
    for (const backoff of ended) {
      this.#active.delete(backoff.target);
      this.#returning.set(backoff.target, createReturn(backoff));
    }
    return ended;
  }

  #tryActive(target: string, now: number): Backoff | undefined {
    const known = this.#active.get(target);
    return known !== undefined && known.until > now ? known : undefined;
  }
}

/** The load comes back over as long as the backoff was. */
function createReturn({ since, until }: Backoff): Return {
  const forMs = Math.min(until - since, LONGEST_RETURN_MS);
  return { since: until, until: until + forMs };
}
