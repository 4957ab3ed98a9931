/**
 * A page of counters, gauges and quantiles in the Prometheus text format.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { EventLog } from "../events/event_log.ts";

const PREFIX = "lagoonwharf_";
const QUANTILES = [50, 95, 99] as const;
const LONGEST_MS = 3_600_000;

/** Numbers that are told apart by one label. */
export interface CountsByLabel {
  readonly name: string;
  readonly help: string;
  readonly label: string;
  readonly read: () => ReadonlyMap<string, number>;
}

/** Milliseconds, of which the page shows quantiles since the process started. */
export class Milliseconds {
  readonly #histogram: Histogram = build({
    highestTrackableValue: LONGEST_MS,
    numberOfSignificantValueDigits: 2,
  });

  /** Takes in one more. */
  record(milliseconds: number): void {
    const bounded = Math.min(LONGEST_MS, Math.max(0, milliseconds));
    this.#histogram.recordValue(bounded);
  }

  /** The value below which so many of a hundred lie. */
  quantile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile);
  }
}

/** A page of counters, gauges and quantiles. */
export class MetricsPage {
  readonly #registry = new Registry();

  /** A counter, told apart by one label if it is named. */
  counter(name: string, help: string, ...labelNames: string[]): Counter {
    return new Counter({
      name: PREFIX + name,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }

  /** A gauge that is read when the page is asked for. */
  gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: PREFIX + name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Gauges told apart by one label, read when the page is asked for. */
  gauges({ name, help, label, read }: CountsByLabel): void {
    new Gauge({
      name: PREFIX + name,
      help,
      labelNames: [label],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [value, number] of read()) {
          this.set({ [label]: value }, number);
        }
      },
    });
  }

  /** Quantiles since the process started. */
  quantiles(name: string, help: string): Milliseconds {
    const milliseconds = new Milliseconds();
    new Gauge({
      name: PREFIX + name,
      help: `${help}, since the process started`,
      labelNames: ["quantile"],
      registers: [this.#registry],
      collect() {
        for (const percentile of QUANTILES) {
          const value = milliseconds.quantile(percentile);
          this.set({ quantile: String(percentile / 100) }, value);
        }
      },
    });
    return milliseconds;
  }

  /** Counts that are kept elsewhere, and read when the page is asked for. */
  counts({ name, help, label, read }: CountsByLabel): void {
    new Counter({
      name: PREFIX + name,
      help,
      labelNames: [label],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [value, count] of read()) {
          this.inc({ [label]: value }, count);
        }
      },
    });
  }

  /** How often each event was logged or left out of the log. */
  events(log: EventLog): void {
    this.counts({
      name: "events_total",
      help: "Events of the log by name, those that were left out too",
      label: "event",
      read: () => log.counts,
    });
  }

  /** The page, in the Prometheus text format. */
  async text(): Promise<string> {
    return await this.#registry.metrics();
  }
}
