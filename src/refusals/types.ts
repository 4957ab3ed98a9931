/**
 * Types for refusals, which callers receive instead of an answer.
 *
 * @module
 */

/**
 * What is known about a request: `not-run` guarantees that the back end never started
 * it, `unknown` guarantees nothing.
 */
export type Outcome = "not-run" | "unknown";

/** An entry of the refusal catalogue. */
export interface RefusalReason {
  /** Stable number that callers receive and metrics show. */
  readonly code: number;
  /** HTTP status of the problem document. */
  readonly status: number;
  /** Description for the caller. */
  readonly title: string;
  /** Retry delay in seconds, or undefined if retrying does not help. */
  readonly retryAfterSeconds?: number;
}

/** Problem details (RFC 9457) with the extension members of lagoonwharf. */
export interface ProblemDetails {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly reason: string;
  /** What is known about the request; with a key, over all submissions of the key. */
  readonly outcome: Outcome;
  /** What is known about this submission only. */
  readonly submission: Outcome;
  readonly retryAfterSeconds?: number;
}
