/**
 * Counters and histograms of a process, as a page in the Prometheus text
 * format.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { ReturnOutcome } from "../entry/types.ts";
import type { StoreCallKind } from "../external/watched_store.ts";
import type { LinkFault } from "../messages/codec.ts";
import type { RefusalName } from "../refusals/catalogue.ts";

const QUANTILES = [50, 95, 99] as const;
const LONGEST_MS = 3_600_000;

/** What the gauges of a process show when the page is read. */
export interface MetricsSource {
  readonly inFlight: number;
  readonly queued: number;
  readonly settingsRevision: number;
  readonly olderOffers: number;
}

/** Counters and histograms of a process. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #requests = this.#counter("requests_total", "Requests taken in");
  readonly #answers = this.#counter("answers_total", "Whole answers given");
  readonly #stale = this.#counter(
    "stale_messages_total",
    "Messages of attempts that were over",
  );
  readonly #refusals = this.#labelled("refusals_total", "Refusals by reason");
  readonly #retries = this.#labelled("retries_total", "Retries by reason");
  readonly #faults = this.#labelled("link_faults_total", "Links closed");
  readonly #returns = new Counter({
    name: "lagoonwharf_returns_total",
    help: "Callers told when to return, and what became of those who did",
    labelNames: ["outcome"],
    registers: [this.#registry],
  });
  readonly #storeCalls = new Counter({
    name: "lagoonwharf_store_calls_total",
    help: "Calls to the platform's store by kind and outcome",
    labelNames: ["kind", "outcome"],
    registers: [this.#registry],
  });
  readonly #milliseconds = createHistogram();
  readonly #pauses = createHistogram();
  readonly #firstByte = createHistogram();
  readonly #source: () => MetricsSource;

  /** Reads the gauges from `source` when the page is asked for. */
  constructor(source: () => MetricsSource) {
    this.#source = source;
    this.#gauge("in_flight", "Requests in flight", (now) => now.inFlight);
    this.#gauge("queued", "Requests that wait", (now) => now.queued);
    this.#gauge(
      "settings_revision",
      "Settings in force",
      (now) => now.settingsRevision,
    );
    this.#gauge(
      "settings_older_offers",
      "Settings that were older and ignored",
      (now) => now.olderOffers,
    );
    this.#latencyGauge(
      "answer_milliseconds",
      "Time to the whole answer, since the process started",
      this.#milliseconds,
    );
    this.#latencyGauge(
      "longest_pause_milliseconds",
      "Longest pause between two pieces of each answer, since the process started",
      this.#pauses,
    );
    this.#latencyGauge(
      "first_byte_milliseconds",
      "Time to the first byte of streamed answers, since the process started",
      this.#firstByte,
    );
  }

  /** A request was taken in. */
  countRequest(): void {
    this.#requests.inc();
  }

  /** A whole answer was given after so many milliseconds. */
  countAnswer(milliseconds: number): void {
    this.#answers.inc();
    this.#milliseconds.recordValue(Math.min(LONGEST_MS, milliseconds));
  }

  /** A streamed answer began after so many milliseconds. */
  countFirstByte(milliseconds: number): void {
    this.#firstByte.recordValue(Math.min(LONGEST_MS, milliseconds));
  }

  /** A caller was told when to return, or one that returned was served or refused. */
  countReturn(outcome: ReturnOutcome): void {
    this.#returns.inc({ outcome });
  }

  /** The longest pause between two pieces of an answer took so long. */
  countPause(milliseconds: number): void {
    this.#pauses.recordValue(Math.min(LONGEST_MS, milliseconds));
  }

  /** A message belonged to no attempt under way. */
  countStale(): void {
    this.#stale.inc();
  }

  /** A request was refused or cut. */
  countRefusal(reason: RefusalName): void {
    this.#refusals.inc({ reason });
  }

  /** A request was sent again. */
  countRetry(reason: RefusalName): void {
    this.#retries.inc({ reason });
  }

  /** A call to the platform's store ended. */
  countStoreCall(kind: StoreCallKind, hasFailed: boolean): void {
    this.#storeCalls.inc({ kind, outcome: hasFailed ? "failed" : "answered" });
  }

  /** A connection was closed for a fault. */
  countLinkFault(reason: LinkFault): void {
    this.#faults.inc({ reason });
  }

  /** The page, in the Prometheus text format. */
  async page(): Promise<string> {
    return await this.#registry.metrics();
  }

  #counter(name: string, help: string): Counter {
    return new Counter({
      name: `lagoonwharf_${name}`,
      help,
      registers: [this.#registry],
    });
  }

  #labelled(name: string, help: string): Counter<"reason"> {
    return new Counter({
      name: `lagoonwharf_${name}`,
      help,
      labelNames: ["reason"],
      registers: [this.#registry],
    });
  }

  #gauge(
    name: string,
    help: string,
    read: (source: MetricsSource) => number,
  ): void {
    const readNow = () => read(this.#source());
    new Gauge({
      name: `lagoonwharf_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(readNow());
      },
    });
  }

  #latencyGauge(name: string, help: string, histogram: Histogram): void {
    new Gauge({
      name: `lagoonwharf_${name}`,
      help,
      labelNames: ["quantile"],
      registers: [this.#registry],
      collect() {
        for (const quantile of QUANTILES) {
          const value = histogram.getValueAtPercentile(quantile);
          this.set({ quantile: String(quantile / 100) }, value);
        }
      },
    });
  }
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: LONGEST_MS,
    numberOfSignificantValueDigits: 2,
  });
}
