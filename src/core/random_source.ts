/**
 * Random numbers from a seed, so that every run can be repeated.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const FRACTION_STEPS = 2 ** 30;

/** Random numbers from a seed. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** The same seed gives the same numbers. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number from 0 up to, not including, `limit`. */
  nextBelow(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  /** A number from 0 up to, not including, 1. */
  nextFraction(): number {
    return this.nextBelow(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /** A waiting time with the given mean, for events without memory. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - this.nextFraction());
  }

  /** A normally distributed number. */
  nextNormal(mean: number, deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.nextFraction()));
    const angle = 2 * Math.PI * this.nextFraction();
    return mean + deviation * radius * Math.cos(angle);
  }
}
