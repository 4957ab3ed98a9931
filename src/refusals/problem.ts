/**
 * Creates the problem documents that callers receive for refusals.
 *
 * @module
 */
import { getRefusal, type RefusalName } from "./catalogue.ts";
import type { Outcome, ProblemDetails } from "./types.ts";

/** Options of {@link createProblem}. */
export interface ProblemOptions {
  /** What is known about the request, over all submissions of its key. */
  readonly outcome: Outcome;
  /** What is known about this submission; `outcome` by default. */
  readonly submission?: Outcome;
  /** Retry delay in seconds; that of the catalogue by default. */
  readonly retryAfterSeconds?: number;
}

/**
 * Creates the problem document of a refusal.
 *
 * @example
 * ```ts
 * createProblem("NO_ROUTE", { outcome: "not-run" }).status; // 404
 * ```
 */
export function createProblem(
  name: RefusalName,
  options: ProblemOptions,
): ProblemDetails {
  const reason = getRefusal(name);
  return {
    type: `urn:lagoonwharf:refusal:${reason.code}`,
    title: reason.title,
    status: reason.status,
    code: reason.code,
    reason: name,
    outcome: options.outcome,
    submission: options.submission ?? options.outcome,
    retryAfterSeconds: options.retryAfterSeconds ?? reason.retryAfterSeconds,
  };
}
