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
}

/** The time until a process ends. */
export class ShutdownWindow {
  /** When the process ends, in milliseconds. */
  #endAt = Infinity;
  #isAccepting = true;

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
   * A request that has just arrived is refused only if it would usually not end, as most
   * of them are short of the longest. Once no others are accepted, what is left has waited
   * or failed before, and counts as one of the longest; so does one of which nothing is
   * known.
   *
   * @example
   * ```ts
   * const window = new ShutdownWindow();
   * window.plan(8000);
   * window.stopAccepting();
   * const answerTime = { wholeMs: 500, longestMs: 3000 };
   * window.mayPassOn({ deadlineAt: 9000, answerTime }, 4000); // true
   * window.mayPassOn({ deadlineAt: 9000, answerTime }, 5500); // false
   * ```
   */
  mayPassOn({ deadlineAt, answerTime }: PendingRequest, now: number): boolean {
    if (deadlineAt <= this.#endAt) return true;
    const { wholeMs, longestMs } = answerTime;
    if (this.#isAccepting) return now + wholeMs <= this.#endAt;
    return longestMs > 0 && now + longestMs <= this.#endAt;
  }
}
