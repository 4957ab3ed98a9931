/**
 * Keeps the longest of the latest durations.
 *
 * @module
 */

/** Durations after which the earliest ones are forgotten. */
const SAMPLES_PER_PERIOD = 128;

/** The longest of the latest durations: of 128 at least, if there were as many. */
export class LongestRecent {
  #previousMs = 0;
  #currentMs = 0;
  #count = 0;

  /** The longest duration; 0 before the first. */
  get milliseconds(): number {
    return Math.max(this.#previousMs, this.#currentMs);
  }

  /**
   * Records a duration, in milliseconds.
   *
   * @example
   * ```ts
   * const longest = new LongestRecent();
   * longest.record(300);
   * longest.record(100);
   * longest.milliseconds; // 300
   * ```
   */
  record(milliseconds: number): void {
    if (this.#count === SAMPLES_PER_PERIOD) {
      this.#previousMs = this.#currentMs;
      this.#currentMs = 0;
      this.#count = 0;
    }
    this.#count++;
    this.#currentMs = Math.max(this.#currentMs, milliseconds);
  }
}
