/**
 * Simulates the runs of a back end. Each run answers with a head, several chunks and an
 * end, and advances only when the test says so.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { TargetEvent } from "../target/types.ts";
import { createAnswer, type Submission } from "./submissions.ts";

const ANSWER_CHUNKS = 3;

interface BackEndRun {
  readonly runId: number;
  readonly submission: Submission;
  nextPart: number;
}

/** Holds the unfinished runs of one back end. */
export class BackEndRuns {
  readonly #isStreamed: boolean;
  #runs: BackEndRun[] = [];

  /** Creates an empty set of runs; with `isStreamed`, answers are event streams. */
  constructor(isStreamed: boolean) {
    this.#isStreamed = isStreamed;
  }

  /** The number of unfinished runs. */
  get size(): number {
    return this.#runs.length;
  }

  /** Starts a run. */
  start(runId: number, submission: Submission): void {
    this.#runs.push({ runId, submission, nextPart: 0 });
  }

  /** Drops all runs, as after a crash of their target. */
  clear(): void {
    this.#runs = [];
  }

  /**
   * Advances one of the runs. Returns the event that its target receives, if there is a
   * run.
   */
  tryProgress(choice: number, now: number): TargetEvent | undefined {
    const run = this.#choose(choice);
    return run && this.#progress(run, now);
  }

  /**
   * Fails one of the runs. Returns the event that its target receives, if there is a run.
   */
  tryFail(choice: number, now: number): TargetEvent | undefined {
    const run = this.#choose(choice);
    return run && this.end(run.runId, now);
  }

  /** Ends a run without a complete answer. Returns the event that its target receives. */
  end(runId: number, now: number): TargetEvent {
    this.#remove(runId);
    return { kind: "back_end_failed", now, runId, failure: "broken" };
  }

  #choose(choice: number): BackEndRun | undefined {
    return this.#runs[choice % Math.max(1, this.#runs.length)];
  }

  #progress(run: BackEndRun, now: number): TargetEvent {
    const { runId } = run;
    const body = createAnswer(run.submission);
    const part = run.nextPart++;
    if (part === 0) return this.#createHead(runId, body.length, now);
    if (part > ANSWER_CHUNKS) {
      this.#remove(runId);
      return { kind: "back_end_end", now, runId };
    }
    const size = Math.ceil(body.length / ANSWER_CHUNKS);
    const start = (part - 1) * size;
    const bytes = Buffer.from(body.slice(start, start + size));
    return { kind: "back_end_data", now, runId, bytes };
  }

  #createHead(runId: number, length: number, now: number): TargetEvent {
    return {
      kind: "back_end_head",
      now,
      runId,
      status: 200,
      headers: this.#isStreamed
        ? [["content-type", "text/event-stream"]]
        : [["content-length", String(length)]],
    };
  }

  #remove(runId: number): void {
    this.#runs = this.#runs.filter((one) => one.runId !== runId);
  }
}
