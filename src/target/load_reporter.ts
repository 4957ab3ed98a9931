/**
 * Decides when a target reports its load to each entry. Reports are infrequent, since
 * each answer also carries the load. Their interval grows with the number of entries,
 * which bounds the total cost of reporting for a target.
 *
 * @module
 */
import type { ReportMessage } from "../messages/types.ts";
import type { TargetLoad } from "./run.ts";

/** Minimum time between two reports to one entry, in milliseconds. */
const MIN_INTERVAL_MS = 1000;
/** Maximum reports per second that a target sends to all entries together. */
const MAX_REPORTS_PER_SECOND = 2.5;
/** Change of the load that requires a report, as a fraction of the last reported load. */
const MIN_CHANGE_FRACTION = 0.25;
/** Weight of the latest run in the mean duration of runs. */
const SMOOTHING_FACTOR = 0.1;
const MS_PER_SECOND = 1000;

interface LastReport {
  load: number;
  at: number;
}

/** Decides when a target reports its load. */
export class LoadReporter {
  #meanRunMs = 0;
  readonly #lastReports = new Map<number, LastReport>();

  /** Records the duration of a run that has ended. */
  recordRun(milliseconds: number): void {
    this.#meanRunMs += SMOOTHING_FACTOR * (milliseconds - this.#meanRunMs);
  }

  /** Records that the load was sent to an entry, in a report or with an answer. */
  recordSentLoad(
    linkId: number,
    sent: { readonly load: TargetLoad; readonly now: number },
  ): void {
    const { queued, running } = sent.load;
    this.#lastReports.set(linkId, { load: queued + running, at: sent.now });
  }

  /** Removes a connection that was lost. */
  removeLink(linkId: number): void {
    this.#lastReports.delete(linkId);
  }

  /** Creates a report of the given load. */
  createReport(load: TargetLoad): ReportMessage {
    return { kind: "report", ...load, meanRunMs: this.#meanRunMs };
  }

  /**
   * Returns the connections to which a report is due: the load has changed enough, and
   * the minimum interval has passed.
   */
  getDueLinks(load: TargetLoad, now: number): readonly number[] {
    const total = load.queued + load.running;
    const interval = Math.max(
      MIN_INTERVAL_MS,
      this.#lastReports.size * MS_PER_SECOND / MAX_REPORTS_PER_SECOND,
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
