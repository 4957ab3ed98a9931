/**
 * Seeded random numbers, which make runs reproducible.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const FRACTION_STEPS = 2 ** 30;

/** A seeded random number generator. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** Creates a generator; equal seeds yield equal sequences. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 up to, but not including, `limit`. */
  nextBelow(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  /** Returns a number from 0 up to, but not including, 1. */
  nextFraction(): number {
    return this.nextBelow(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /**
   * Returns an exponentially distributed number, such as the time between two arrivals
   * of a Poisson process.
   */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - this.nextFraction());
  }

  /** Returns a normally distributed number. */
  nextNormal(mean: number, deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.nextFraction()));
    const angle = 2 * Math.PI * this.nextFraction();
    return mean + deviation * radius * Math.cos(angle);
  }
}
