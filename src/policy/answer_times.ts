/**
 * Learns how long the answers of each service usually take, so that a request is not kept
 * waiting beyond the time at which its caller could still be answered.
 *
 * @module
 */

/**
 * Weight of a new sample in the mean, from 0 to 1, as in the smoothed round-trip time of
 * RFC 6298.
 */
const SMOOTHING = 1 / 8;

/** How long the answers of a service usually take after they are requested. */
export interface AnswerTime {
  /** Milliseconds until the first chunk; 0 while none has been observed. */
  readonly firstChunkMs: number;
  /** Milliseconds until the answer is complete; 0 while none has been observed. */
  readonly wholeMs: number;
}

const UNKNOWN_TIME: AnswerTime = { firstChunkMs: 0, wholeMs: 0 };

/** Learns how long the answers of each service usually take. */
export class AnswerTimes {
  readonly #byService = new Map<string, AnswerTime>();

  /**
   * Returns the usual time of a service's answers, by the service's settings path.
   *
   * @example
   * ```ts
   * const times = new AnswerTimes();
   * times.recordFirstChunk("/organisations/a/services/s", 150);
   * times.get("/organisations/a/services/s").firstChunkMs; // 150
   * ```
   */
  get(servicePath: string): AnswerTime {
    return this.#byService.get(servicePath) ?? UNKNOWN_TIME;
  }

  /** Records the milliseconds from sending a request to the first chunk of its answer. */
  recordFirstChunk(servicePath: string, milliseconds: number): void {
    const time = this.get(servicePath);
    const firstChunkMs = smooth(time.firstChunkMs, milliseconds);
    this.#byService.set(servicePath, { ...time, firstChunkMs });
  }

  /** Records the milliseconds from sending a request to the end of its answer. */
  recordWhole(servicePath: string, milliseconds: number): void {
    const time = this.get(servicePath);
    const wholeMs = smooth(time.wholeMs, milliseconds);
    this.#byService.set(servicePath, { ...time, wholeMs });
  }
}

function smooth(mean: number, sample: number): number {
  return mean === 0 ? sample : mean + SMOOTHING * (sample - mean);
}
