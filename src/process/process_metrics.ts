/**
 * Metrics that every process has.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { StoreCallKind } from "../external/watched_store.ts";
import { type DurationHistogram, MetricsPage } from "./metrics_page.ts";
import type { TextPages } from "./text_pages.ts";

/** Metrics that every process has; each role adds its own. */
export abstract class ProcessMetrics {
  /** The page to which a role adds its own metrics. */
  protected readonly metricsPage = new MetricsPage();
  /** How late timers fire. */
  readonly loopDelays: DurationHistogram = this.metricsPage.quantiles(
    "loop_delay_milliseconds",
    "How late timers fired",
  );
  readonly #storeCalls = this.metricsPage.counter(
    "store_calls_total",
    "Calls to the platform's store by kind and outcome",
    "kind",
    "outcome",
  );

  /** Creates the metrics, which include the events of the log. */
  constructor(log: EventLog) {
    this.metricsPage.countEvents(log);
  }

  /** Counts a completed call to the platform's store. */
  countStoreCall(kind: StoreCallKind, hasFailed: boolean): void {
    this.#storeCalls.inc({ kind, outcome: hasFailed ? "failed" : "answered" });
  }

  /** Returns the page in the Prometheus text format. */
  async page(): Promise<string> {
    return await this.metricsPage.text();
  }

  /** The page at its path. */
  get pages(): TextPages {
    return {
      "/metrics": async () => ({ status: 200, text: await this.page() }),
    };
  }
}
