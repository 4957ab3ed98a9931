/**
 * Learns how long the answers of each service usually take, so that a request is not kept
 * waiting beyond the time at which its caller could still be answered.
 *
 * @module
 */
import { DurationEstimate } from "./duration_estimate.ts";
import { LongestRecent } from "./longest_recent.ts";

/** How long the answers of a service usually take after they are requested. */
export interface AnswerTime {
  /** Milliseconds until the first chunk; 0 while none has been observed. */
  readonly firstChunkMs: number;
  /** Milliseconds until the answer is complete; 0 while none has been observed. */
  readonly wholeMs: number;
  /** Milliseconds within which nearly all answers are complete. */
  readonly upperWholeMs: number;
  /** Milliseconds of the longest recent answer; 0 while none has been observed. */
  readonly longestMs: number;
}

interface ServiceEstimates {
  readonly firstChunk: DurationEstimate;
  readonly whole: DurationEstimate;
  readonly longest: LongestRecent;
}

/** Learns how long the answers of each service usually take. */
export class AnswerTimes {
  readonly #byService = new Map<string, ServiceEstimates>();

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
    const estimates = this.#byService.get(servicePath);
    return {
      firstChunkMs: estimates?.firstChunk.meanMs ?? 0,
      wholeMs: estimates?.whole.meanMs ?? 0,
      upperWholeMs: estimates?.whole.upperMs ?? 0,
      longestMs: estimates?.longest.milliseconds ?? 0,
    };
  }

  /** Records the milliseconds from sending a request to the first chunk of its answer. */
  recordFirstChunk(servicePath: string, milliseconds: number): void {
    this.#getOrCreate(servicePath).firstChunk.record(milliseconds);
  }

  /** Records the milliseconds from sending a request to the end of its answer. */
  recordWhole(servicePath: string, milliseconds: number): void {
    const { whole, longest } = this.#getOrCreate(servicePath);
    whole.record(milliseconds);
    longest.record(milliseconds);
  }

  #getOrCreate(servicePath: string): ServiceEstimates {
    let estimates = this.#byService.get(servicePath);
    if (estimates === undefined) {
      const firstChunk = new DurationEstimate();
      const whole = new DurationEstimate();
      estimates = { firstChunk, whole, longest: new LongestRecent() };
      this.#byService.set(servicePath, estimates);
    }
    return estimates;
  }
}
