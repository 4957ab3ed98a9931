/**
 * Spreads a sequence evenly over an interval.
 *
 * @module
 */

/**
 * The golden ratio's fractional part: the multiples of no other number, modulo 1, stay as
 * far apart (additive recurrence).
 */
const STEP = (Math.sqrt(5) - 1) / 2;

/** A sequence of fractions of which any few in a row are far apart. */
export class EvenSpread {
  #fraction = 0;

  /**
   * Returns the next fraction, from 0 to below 1.
   *
   * @example
   * ```ts
   * const spread = new EvenSpread();
   * [spread.next(), spread.next(), spread.next()]; // 0, 0.618, 0.236
   * ```
   */
  next(): number {
    const current = this.#fraction;
    this.#fraction = (current + STEP) % 1;
    return current;
  }
}
