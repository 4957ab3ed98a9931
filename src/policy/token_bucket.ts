/**
 * A token bucket: limits the rate and the burst of requests.
 *
 * @module
 */

/** Options of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  readonly perSecond: number;
  readonly burst: number;
}

/** Allows `perSecond` requests a second, with bursts of up to `burst`. */
export class TokenBucket {
  #options: TokenBucketOptions;
  #tokens: number;
  #updatedAt: number;

  /** Starts full. `now` is in milliseconds of a monotonic clock. */
  constructor(options: TokenBucketOptions, now: number) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#updatedAt = now;
  }

  /** Changes the rate; tokens in the bucket are kept up to the new burst. */
  setOptions(options: TokenBucketOptions, now: number): void {
    this.#refill(now);
    this.#options = options;
    this.#tokens = Math.min(this.#tokens, options.burst);
  }

  /**
   * Takes a token if there is one.
   *
   * @example
   * ```ts
   * if (!bucket.tryTake(now)) refuse("ORGANISATION_RATE");
   * ```
   */
  tryTake(now: number): boolean {
    this.#refill(now);
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  /** Returns the milliseconds until a token is available; infinite at a rate of 0. */
  getWaitMs(now: number): number {
    this.#refill(now);
    const missing = Math.max(0, 1 - this.#tokens);
    return missing === 0 ? 0 : missing * 1000 / this.#options.perSecond;
  }

  #refill(now: number): void {
    const elapsed = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = Math.max(now, this.#updatedAt);
    const added = elapsed * this.#options.perSecond / 1000;
    this.#tokens = Math.min(this.#options.burst, this.#tokens + added);
  }
}
