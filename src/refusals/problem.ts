/**
 * Turns a refusal into the problem document that a caller sees.
 *
 * @module
 */
import { getRefusal, type RefusalName } from "./catalogue.ts";
import type { Outcome, ProblemDetails } from "./types.ts";

/** What is known when a refusal is turned into a problem document. */
export interface ProblemOptions {
  /** What is known of the request, over all submissions of its key. */
  readonly outcome: Outcome;
  /** What is known of this submission; the same as `outcome` by default. */
  readonly submission?: Outcome;
  /** When to come back; the catalogue's usual time by default. */
  readonly retryAfterSeconds?: number;
}

/**
 * Makes the problem document of a refusal.
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
