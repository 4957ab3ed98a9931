/**
 * Counters and quantiles of a rank's sidecar.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import { ProcessMetrics } from "../process/process_metrics.ts";

/** Values of the gauges when the page is read. */
export interface RankMetricsSource {
  /** Number of entries that receive updates from this process. */
  readonly subscribedEntries: number;
  /** Milliseconds since the engine's state was read; undefined if it never was. */
  readonly stateAgeMs: number | undefined;
  readonly isDecider: boolean;
}

/** Age shown for a state that was never read. */
const NEVER_MS = -1;

/** Counters and quantiles of a rank's sidecar. */
export class RankMetrics extends ProcessMetrics {
  /** Reads the gauges from `source` when the page is requested. */
  constructor(source: () => RankMetricsSource, log: EventLog) {
    super(log);
    this.metricsPage.gauge(
      "entries_heard",
      "Entries that receive updates from this process",
      () => source().subscribedEntries,
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
