/**
 * Tracks the backoffs that targets request from this entry.
 *
 * An overloaded target refuses a request and names a time for which the sender should
 * send no more. Other entries may go on sending to it, so each entry only applies the
 * backoffs requested from itself.
 *
 * A backoff is kept by the target's name and separately from the target's other state,
 * which is removed when the target is missing from a list for a moment. It is timed on
 * the monotonic clock from when it was received. A later request extends it but never
 * shortens it. An answer of the target within the backoff does not end it, as its request
 * was sent before.
 *
 * After the backoff the load returns gradually: other entries received backoffs that end
 * at about the same moment, and so did the callers that were refused meanwhile.
 *
 * @module
 */

/**
 * Maximum backoff of one request, in milliseconds. A target that is overloaded for longer
 * requests another one, and a wrong value costs a target at most an hour.
 */
export const MAX_BACKOFF_MS = 3_600_000;
/** Maximum time over which the load returns after a backoff, in milliseconds. */
const MAX_RAMP_UP_MS = 3000;

/** A target's request to be sent nothing for a time. */
export interface BackoffRequest {
  readonly target: string;
  /** Requested duration in milliseconds. */
  readonly askedMs: number;
  /** When the request was received, in milliseconds. */
  readonly now: number;
}

/** A backoff of a target. */
export interface Backoff {
  readonly target: string;
  /** Duration in milliseconds named by the request that set the current end. */
  readonly askedMs: number;
  /** When it began, in milliseconds. */
  readonly since: number;
  /** When it ends, in milliseconds. */
  readonly until: number;
}

/** The interval over which a target's load returns after a backoff. */
interface RampUp {
  readonly since: number;
  readonly until: number;
}

/** Tracks the backoffs that targets request from this entry. */
export class TargetBackoffs {
  readonly #active = new Map<string, Backoff>();
  readonly #rampingUp = new Map<string, RampUp>();
  #count = 0;

  /** Number of targets in a backoff, as of the last {@link takeEnded}. */
  get size(): number {
    return this.#active.size;
  }

  /**
   * Whether no target is in a backoff or ramping up after one, as of the last {@link
   * takeEnded}.
   */
  get isIdle(): boolean {
    return this.#active.size + this.#rampingUp.size === 0;
  }

  /** Number of backoffs that have begun since the process started. */
  get count(): number {
    return this.#count;
  }

  /**
   * Records a requested backoff; returns it if it ends later than the known one.
   *
   * @example
   * ```ts
   * const backoff = backoffs.record({ target: "i-1", askedMs: 3000, now });
   * ```
   */
  record({ target, askedMs, now }: BackoffRequest): Backoff | undefined {
    const until = now + Math.min(askedMs, MAX_BACKOFF_MS);
    const known = this.#tryActive(target, now);
    if (until <= (known?.until ?? now)) return undefined;
    if (known === undefined) this.#count++;
    const backoff = { target, askedMs, since: known?.since ?? now, until };
    this.#active.set(target, backoff);
    this.#rampingUp.delete(target);
    return backoff;
  }

  /**
   * Returns the milliseconds for which a target must not be sent requests; 0 if it may
   * be.
   */
  getRemainingMs(target: string, now: number): number {
    const active = this.#tryActive(target, now);
    return active === undefined ? 0 : active.until - now;
  }

  /** Returns the fraction of requests for which a target is a candidate, from 0 to 1. */
  getShare(target: string, now: number): number {
    if (this.#tryActive(target, now) !== undefined) return 0;
    const expired = this.#active.get(target);
    const rampUp = expired === undefined
      ? this.#rampingUp.get(target)
      : createRampUp(expired);
    if (rampUp === undefined) return 1;
    const { since, until } = rampUp;
    return Math.min(1, Math.max(0, (now - since) / (until - since)));
  }

  /**
   * Returns the milliseconds over which a target's load returns once its backoff has
   * ended.
   */
  getRampUpMs(target: string): number {
    const active = this.#active.get(target);
    if (active === undefined) return 0;
    const { since, until } = createRampUp(active);
    return until - since;
  }

  /** Returns the backoffs that have ended since the last call. */
  takeEnded(now: number): readonly Backoff[] {
    for (const [target, { until }] of this.#rampingUp) {
      if (until <= now) this.#rampingUp.delete(target);
    }
    const expired = [...this.#active.values()].filter(({ until }) =>
      until <= now
    );
    for (const backoff of expired) {
      this.#active.delete(backoff.target);
      this.#rampingUp.set(backoff.target, createRampUp(backoff));
    }
    return expired;
  }

  #tryActive(target: string, now: number): Backoff | undefined {
    const known = this.#active.get(target);
    return known !== undefined && known.until > now ? known : undefined;
  }
}

/** The load returns over as long as the backoff lasted, up to the maximum. */
function createRampUp({ since, until }: Backoff): RampUp {
  const forMs = Math.min(until - since, MAX_RAMP_UP_MS);
  return { since: until, until: until + forMs };
}
