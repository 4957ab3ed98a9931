/**
 * The vocabulary of everything a caller gets that is not an answer.
 *
 * @module
 */

/**
 * What is known of the caller's request: `not-run` promises that the back end
 * never began it, `unknown` promises nothing.
 */
export type Outcome = "not-run" | "unknown";

/** One row of the refusal catalogue. */
export interface RefusalReason {
  /** Stable number, shown to callers and in metrics. */
  readonly code: number;
  /** HTTP status of the problem document. */
  readonly status: number;
  /** Plain sentence for the caller. */
  readonly title: string;
  /** Seconds after which coming back helps, or undefined when it does not. */
  readonly retryAfterSeconds?: number;
}

/** Problem details after RFC 9457, with our extension members. */
export interface ProblemDetails {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly reason: string;
  /** For a keyed request this speaks of the key, over all its submissions. */
  readonly outcome: Outcome;
  /** Speaks of this one submission only. */
  readonly submission: Outcome;
  readonly retryAfterSeconds?: number;
}
