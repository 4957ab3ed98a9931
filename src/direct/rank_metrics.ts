/**
 * Counters and quantiles of a process beside a rank's engine.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { StoreCallKind } from "../external/watched_store.ts";
import { MetricsPage, type Milliseconds } from "../process/metrics_page.ts";

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
export class RankMetrics {
  readonly #page = new MetricsPage();
  readonly #storeCalls = this.#page.counter(
    "store_calls_total",
    "Calls to the platform's store by kind and outcome",
    "kind",
    "outcome",
  );
  /** How late timers fired. */
  readonly loopDelays: Milliseconds = this.#page.quantiles(
    "loop_delay_milliseconds",
    "How late timers fired",
  );

  /** Reads the gauges from `source` when the page is asked for. */
  constructor(source: () => RankMetricsSource, log: EventLog) {
    this.#page.gauge(
      "entries_heard",
      "Entries that hear from this process",
      () => source().entriesHeard,
    );
    this.#page.gauge(
      "engine_state_age_milliseconds",
      "Time since the engine's state was read; -1 if it never was",
      () => source().stateAgeMs ?? NEVER_MS,
    );
    this.#page.gauge(
      "is_decider",
      "1 where this process decides on its group's maps",
      () => source().isDecider ? 1 : 0,
    );
    this.#page.events(log);
  }

  /** A call to the platform's store ended. */
  countStoreCall(kind: StoreCallKind, hasFailed: boolean): void {
    this.#storeCalls.inc({ kind, outcome: hasFailed ? "failed" : "answered" });
  }

  /** The page, in the Prometheus text format. */
  async page(): Promise<string> {
    return await this.#page.text();
  }
}
