/**
 * Counters and quantiles of a process beside a rank's engine.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import { ProcessMetrics } from "../process/process_metrics.ts";

/** What the gauges show when the page is read. */
export interface RankMetricsSource {
  /** Entries that hear from this process. */
  readonly entriesHeard: number;
  /** Milliseconds since the engine's state was read; undefined: it never was. */
  readonly stateAgeMs: number | undefined;
  readonly isDecider: boolean;
}

/** Age that is shown for a state that was never read. */
const NEVER_MS = -1;

/** Counters and quantiles of a process beside a rank's engine. */
export class RankMetrics extends ProcessMetrics {
  /** Reads the gauges from `source` when the page is asked for. */
  constructor(source: () => RankMetricsSource, log: EventLog) {
    super(log);
    this.metricsPage.gauge(
      "entries_heard",
      "Entries that hear from this process",
      () => source().entriesHeard,
    );
    this.metricsPage.gauge(
      "engine_state_age_milliseconds",
      "Time since the engine's state was read; -1 if it never was",
      () => source().stateAgeMs ?? NEVER_MS,
    );
    this.metricsPage.gauge(
      "is_decider",
      "1 where this process decides on its group's maps",
      () => source().isDecider ? 1 : 0,
    );
  }
}
