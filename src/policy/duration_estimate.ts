/**
 * Estimates a duration from samples by a smoothed mean and deviation, as TCP estimates
 * the round-trip time (RFC 6298).
 *
 * @module
 */

/** Weight of a new sample in the mean, from 0 to 1. */
const MEAN_SMOOTHING = 1 / 8;
/** Weight of a new sample in the deviation, from 0 to 1. */
const DEVIATION_SMOOTHING = 1 / 4;
/** Number of deviations above the mean within which nearly all samples lie. */
const UPPER_DEVIATIONS = 4;

/** An estimate of a duration, in milliseconds. */
export class DurationEstimate {
  #meanMs = 0;
  #deviationMs = 0;
  #hasSamples = false;

  /** The smoothed mean; 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** The duration that few samples exceed; 0 before the first sample. */
  get upperMs(): number {
    return this.#meanMs + UPPER_DEVIATIONS * this.#deviationMs;
  }

  /**
   * Records a sample, in milliseconds.
   *
   * @example
   * ```ts
   * const estimate = new DurationEstimate();
   * estimate.record(100);
   * estimate.meanMs; // 100
   * estimate.upperMs; // 300
   * ```
   */
  record(milliseconds: number): void {
    if (!this.#hasSamples) {
      this.#hasSamples = true;
      this.#meanMs = milliseconds;
      this.#deviationMs = milliseconds / 2;
      return;
    }
    const difference = milliseconds - this.#meanMs;
    this.#deviationMs += DEVIATION_SMOOTHING *
      (Math.abs(difference) - this.#deviationMs);
    this.#meanMs += MEAN_SMOOTHING * difference;
  }
}
