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
const MAX_MS = 3_600_000;

/** A metric with one label and a value for each label value. */
export interface LabelledNumbers {
  readonly name: string;
  readonly help: string;
  readonly label: string;
  readonly read: () => ReadonlyMap<string, number>;
}

/**
 * Histogram of durations in milliseconds; the page shows quantiles since the process
 * started.
 */
export class DurationHistogram {
  readonly #histogram: Histogram = build({
    highestTrackableValue: MAX_MS,
    numberOfSignificantValueDigits: 2,
  });

  /** Records a duration. */
  record(milliseconds: number): void {
    const bounded = Math.min(MAX_MS, Math.max(0, milliseconds));
    this.#histogram.recordValue(bounded);
  }

  /** Returns the value at a percentile. */
  quantile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile);
  }
}

/** A page of counters, gauges and quantiles. */
export class MetricsPage {
  readonly #registry = new Registry();

  /** Adds a counter with the given labels. */
  counter(name: string, help: string, ...labelNames: string[]): Counter {
    return new Counter({
      name: PREFIX + name,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }

  /** Adds a gauge that is read at each scrape. */
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

  /** Adds a gauge with one label that is read at each scrape. */
  labelledGauge({ name, help, label, read }: LabelledNumbers): void {
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

  /** Adds quantiles of a duration since the process started. */
  quantiles(name: string, help: string): DurationHistogram {
    const milliseconds = new DurationHistogram();
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

  /** Adds a counter with one label that is read at each scrape. */
  labelledCounter({ name, help, label, read }: LabelledNumbers): void {
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

  /** Adds a counter of log events, including those whose lines were omitted. */
  countEvents(log: EventLog): void {
    this.labelledCounter({
      name: "events_total",
      help: "Log events by name, including those whose lines were omitted",
      label: "event",
      read: () => log.counts,
    });
  }

  /** Returns the page in the Prometheus text format. */
  async text(): Promise<string> {
    return await this.#registry.metrics();
  }
}
