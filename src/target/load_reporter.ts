/**
 * Decides when a target tells its load to which entry: seldom, since each
 * answer carries the load as well, and the more seldom the more entries there
 * are, so that reports cost a target the same however many listen.
 *
 * @module
 */
import type { ReportMessage } from "../messages/types.ts";
import type { TargetLoad } from "./run.ts";

/** Shortest time between two words to one entry, in milliseconds. */
const MIN_INTERVAL_MS = 1000;
/** Reports that a target sends a second, to all entries together. */
const REPORTS_PER_SECOND = 2.5;
/** Change of the load, as a share, that is worth a report. */
const MIN_CHANGE_FRACTION = 0.25;
/** Weight of the newest run in the mean. */
const SMOOTHING_FACTOR = 0.1;
const MS_PER_SECOND = 1000;

interface LastReport {
  load: number;
  at: number;
}

/** Decides when a target tells its load. */
export class LoadReporter {
  #meanRunMs = 0;
  readonly #lastReports = new Map<number, LastReport>();

  /** A run has ended. */
  recordRun(milliseconds: number): void {
    this.#meanRunMs += SMOOTHING_FACTOR * (milliseconds - this.#meanRunMs);
  }

  /** An entry heard the load, by a report or with an answer. */
  recordReport(
    linkId: number,
    report: { readonly load: TargetLoad; readonly now: number },
  ): void {
    const { queued, running } = report.load;
    this.#lastReports.set(linkId, { load: queued + running, at: report.now });
  }

  /** The connection was lost. */
  removeLink(linkId: number): void {
    this.#lastReports.delete(linkId);
  }

  /** A report of this load. */
  createReport(load: TargetLoad): ReportMessage {
    return { kind: "report", ...load, meanRunMs: this.#meanRunMs };
  }

  /** Entries whose last word is old and no longer true. */
  getDueLinks(load: TargetLoad, now: number): readonly number[] {
    const total = load.queued + load.running;
    const interval = Math.max(
      MIN_INTERVAL_MS,
      this.#lastReports.size * MS_PER_SECOND / REPORTS_PER_SECOND,
    );
    const dueLinks: number[] = [];
    for (const [linkId, last] of this.#lastReports) {
      if (now - last.at < interval) continue;
      const change = Math.abs(total - last.load);
      if (change > MIN_CHANGE_FRACTION * last.load) dueLinks.push(linkId);
    }
    return dueLinks;
  }
}
