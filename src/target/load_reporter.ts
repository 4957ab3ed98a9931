/**
 * Decides when a target tells its load without being asked: on change, and
 * seldom, since each answer carries the load as well.
 *
 * @module
 */
import type { ReportMessage } from "../messages/types.ts";
import type { TargetLoad } from "./run.ts";

/** Shortest time between two reports, in milliseconds. */
const MIN_INTERVAL_MS = 1000;
/** Change of the load, as a share, that is worth a report. */
const MIN_CHANGE = 0.25;
/** Weight of the newest run in the mean. */
const SMOOTHING = 0.1;

/** Decides when a target tells its load. */
export class LoadReporter {
  #meanRunMs = 0;
  #reportedLoad = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;

  /** A run has ended. */
  countRun(milliseconds: number): void {
    this.#meanRunMs += SMOOTHING * (milliseconds - this.#meanRunMs);
  }

  /** A report of this load. */
  createReport(load: TargetLoad): ReportMessage {
    return { kind: "report", ...load, meanRunMs: this.#meanRunMs };
  }

  /** A report, if the load changed enough and the last one is old enough. */
  tryReport(load: TargetLoad, now: number): ReportMessage | undefined {
    const total = load.queued + load.running;
    if (now - this.#reportedAt < MIN_INTERVAL_MS) return undefined;
    const change = Math.abs(total - this.#reportedLoad);
    if (change <= MIN_CHANGE * this.#reportedLoad) return undefined;
    this.#reportedLoad = total;
    this.#reportedAt = now;
    return this.createReport(load);
  }
}
