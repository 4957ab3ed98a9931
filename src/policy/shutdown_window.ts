/**
 * Decides which requests a process that shuts down may still pass on.
 *
 * The process ends at a set time and cuts what is unfinished then. The answer to a
 * request that is passed on too late is lost, although the request may have run. One that
 * is refused before can be served elsewhere.
 *
 * @module
 */
import type { AnswerTime } from "./answer_times.ts";

/** The times of an answer that decide whether its request can end before the process. */
export type ExpectedAnswerTime = Pick<AnswerTime, "wholeMs" | "longestMs">;

/** A request that has not been passed on. */
export interface PendingRequest {
  /** When its caller leaves, in milliseconds. */
  readonly deadlineAt: number;
  /** How long answers of its service take. */
  readonly answerTime: ExpectedAnswerTime;
  /** Whether its caller may send it again, or have it continued, if it is cut. */
  readonly isRepeatable: boolean;
}

/** The time until a process ends. */
export class ShutdownWindow {
  /** When the process ends, in milliseconds. */
  #endAt = Infinity;
  #isAccepting = true;

  /** Whether the process shuts down. */
  get isPlanned(): boolean {
    return this.#endAt < Infinity;
  }

  /** Sets when the process ends, in milliseconds. */
  plan(endAt: number): void {
    this.#endAt = endAt;
  }

  /** Called when no further requests are accepted. */
  stopAccepting(): void {
    this.#isAccepting = false;
  }

  /**
   * Returns whether a request that is passed on now will end before the process: at its
   * deadline at the latest, else as fast as answers of its service do.
   *
   * A request that may be repeated is refused if it would usually not end; one that may
   * not, once no others are accepted, if it would not end as one of the longest. Most that
   * have just arrived are shorter, and refusing them costs their callers a retry. One of
   * which nothing is known is passed on while others are accepted.
   *
   * @example
   * ```ts
   * const window = new ShutdownWindow();
   * window.plan(8000);
   * window.stopAccepting();
   * const answerTime = { wholeMs: 500, longestMs: 3000 };
   * const request = { deadlineAt: 9000, answerTime, isRepeatable: false };
   * window.mayPassOn(request, 4000); // true
   * window.mayPassOn(request, 5500); // false
   * ```
   */
  mayPassOn(request: PendingRequest, now: number): boolean {
    const { deadlineAt, answerTime, isRepeatable } = request;
    if (deadlineAt <= this.#endAt) return true;
    const { wholeMs, longestMs } = answerTime;
    const isKnown = longestMs > 0;
    if (!isKnown && !this.#isAccepting) return false;
    const isUsual = isRepeatable || this.#isAccepting;
    return now + (isUsual ? wholeMs : longestMs) <= this.#endAt;
  }
}
