/**
 * What callers sent and were told, for tests under faults, and what must hold
 * of it.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { ProblemDetails } from "../refusals/types.ts";

/** What a caller was told in the end. */
export interface CallerOutcome {
  readonly status: number;
  /** Body of an answer; undefined when it was refused or cut. */
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
  /** Times that a back end ran it. */
  runs: number;
}

/** An answer that can be told from every other request's. */
export function answerTo(submission: Submission): string {
  const what = submission.key ?? `submission ${submission.id}`;
  return `[answer to ${what} with ${submission.body}]`;
}

/** What must hold of one submission at every moment. */
export function checkSubmission(submission: Submission): void {
  const { outcome, key, method, runs } = submission;
  if (key === undefined && method === "POST") {
    assert.ok(runs <= 1, `Submission ${submission.id} ran ${runs} times`);
  }
  if (outcome === undefined) return;
  if (outcome.body !== undefined) {
    assert.equal(outcome.body, answerTo(submission), "Not its whole answer");
  }
  if (outcome.problem?.submission === "not-run") {
    assert.equal(
      runs,
      0,
      `Submission ${submission.id} is said not to have run`,
    );
  }
}
