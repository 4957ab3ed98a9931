/**
 * What every process of the system counts.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { StoreCallKind } from "../external/watched_store.ts";
import { MetricsPage, type Milliseconds } from "./metrics_page.ts";
import type { TextPages } from "./text_pages.ts";

/** What every process of the system counts; each role adds its own. */
export abstract class ProcessMetrics {
  /** Where a role adds its own counters. */
  protected readonly metricsPage = new MetricsPage();
  /** How late timers fired. */
  readonly loopDelays: Milliseconds = this.metricsPage.quantiles(
    "loop_delay_milliseconds",
    "How late timers fired",
  );
  readonly #storeCalls = this.metricsPage.counter(
    "store_calls_total",
    "Calls to the platform's store by kind and outcome",
    "kind",
    "outcome",
  );

  /** Counts the events of the log, too. */
  constructor(log: EventLog) {
    this.metricsPage.events(log);
  }

  /** A call to the platform's store ended. */
  countStoreCall(kind: StoreCallKind, hasFailed: boolean): void {
    this.#storeCalls.inc({ kind, outcome: hasFailed ? "failed" : "answered" });
  }

  /** The page, in the Prometheus text format. */
  async page(): Promise<string> {
    return await this.metricsPage.text();
  }

  /** The page under its usual path. */
  get pages(): TextPages {
    return {
      "/metrics": async () => ({ status: 200, text: await this.page() }),
    };
  }
}
