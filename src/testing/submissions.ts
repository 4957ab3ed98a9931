/**
 * Records what callers sent and received in simulations, and checks the conditions that
 * must hold for it.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { ProblemDetails } from "../refusals/types.ts";

/** The final outcome that a caller received. */
export interface CallerOutcome {
  readonly status: number;
  /**
   * Body of the answer; undefined when the request was refused or the answer was cut off.
   */
  readonly body?: string;
  readonly problem?: ProblemDetails;
  readonly isCut: boolean;
}

/** One submission of a caller. */
export interface Submission {
  readonly id: number;
  readonly entry: number;
  readonly method: string;
  readonly key?: string;
  readonly body: string;
  outcome?: CallerOutcome;
  streamed: string;
  isStreamEnded: boolean;
  /** Number of times that a back end ran the submission. */
  runs: number;
}

/** Returns the text of the answer, which is different for every request. */
export function createAnswer(submission: Submission): string {
  const subject = submission.key ?? `submission ${submission.id}`;
  return `[answer to ${subject} with ${submission.body}]`;
}

/** Checks the conditions that must hold for a submission at every moment. */
export function checkSubmission(submission: Submission): void {
  const { outcome, key, method, runs } = submission;
  if (key === undefined && method === "POST") {
    assert.ok(runs <= 1, `Submission ${submission.id} ran ${runs} times`);
  }
  if (outcome === undefined) return;
  if (outcome.body !== undefined) {
    assert.equal(
      outcome.body,
      createAnswer(submission),
      "Not the complete answer to this submission",
    );
  }
  if (outcome.problem?.submission === "not-run") {
    assert.equal(
      runs,
      0,
      `Submission ${submission.id} ran but was reported as not run`,
    );
  }
}
