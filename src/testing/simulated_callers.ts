/**
 * Simulates callers: records what each sent, how often it ran and its outcome, and checks
 * the conditions that must hold for these at every moment.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { EntryEffect } from "../entry/types.ts";
import {
  type CallerOutcome,
  checkSubmission,
  type Submission,
} from "./submissions.ts";

/** What a caller sends, and through which entry. */
export interface NewSubmission {
  readonly entry: number;
  readonly method?: string;
  readonly key?: string;
  readonly body?: string;
}

/** The callers of a simulation. */
export class SimulatedCallers {
  readonly submissions: Submission[] = [];
  /** Number of times that the request of a key started to run. */
  readonly runsByKey = new Map<string, number>();
  /** Number of retries that entries made. */
  retries = 0;
  /** Number of answers that entries cut off. */
  cutAnswers = 0;

  /** Adds a submission of a caller. */
  add({ entry, method, key, body }: NewSubmission): Submission {
    const submission: Submission = {
      id: this.submissions.length + 1,
      entry,
      method: method ?? "POST",
      key,
      body: body ?? `order ${key ?? ""}`,
      streamed: "",
      isStreamEnded: false,
      runs: 0,
    };
    this.submissions.push(submission);
    return submission;
  }

  /** Returns the submission with an id. */
  get(id: number): Submission {
    return this.submissions[id - 1] as Submission;
  }

  /** Records that a back end started to run a submission. */
  countRun(submission: Submission): void {
    submission.runs++;
    const { key } = submission;
    if (key === undefined) return;
    this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
  }

  /** Records an effect of an entry that concerns a caller. */
  recordEffect(effect: EntryEffect): void {
    switch (effect.kind) {
      case "continue_answer":
        this.get(effect.requestId).streamed += Buffer.from(effect.bytes)
          .toString();
        return;
      case "finish_answer": {
        const { streamed } = this.get(effect.requestId);
        return this.#recordOutcome(effect.requestId, {
          status: 200,
          body: streamed,
          isCut: false,
        });
      }
      case "whole_answer":
        return this.#recordOutcome(effect.requestId, {
          status: effect.status,
          body: Buffer.concat(effect.body).toString(),
          isCut: false,
        });
      case "cut_answer":
        this.cutAnswers++;
        return this.#recordOutcome(effect.requestId, {
          status: 200,
          isCut: true,
        });
      case "refuse_request":
        return this.#recordOutcome(effect.requestId, {
          status: effect.problem.status,
          problem: effect.problem,
          isCut: false,
        });
      case "count_retry":
        this.retries++;
        return;
      default:
        return;
    }
  }

  /** Checks the conditions that must hold at every moment. */
  check(): void {
    for (const [key, runs] of this.runsByKey) {
      assert.ok(runs <= 1, `Key ${key} ran ${runs} times`);
    }
    for (const submission of this.submissions) checkSubmission(submission);
  }

  #recordOutcome(id: number, outcome: CallerOutcome): void {
    const submission = this.get(id);
    assert.equal(
      submission.outcome,
      undefined,
      "A caller received more than one outcome",
    );
    submission.outcome = outcome;
    const { key } = submission;
    if (key === undefined || outcome.problem?.outcome !== "not-run") return;
    const runs = this.runsByKey.get(key) ?? 0;
    assert.equal(runs, 0, `Key ${key} ran but was reported as not run`);
  }
}
