/**
 * Workloads for the bench of expert maps: tokens per expert, interval by
 * interval, and the speed of each rank. All is drawn from a seed.
 *
 * Assumptions: popularity is log-normal; layers are independent; a step's
 * tokens are many enough that an interval's mean counts carry a noise of about
 * one in a hundred.
 *
 * @module
 */
import { RandomSource } from "../src/core/random_source.ts";

/** Size of a group. */
export interface GroupShape {
  readonly ranks: number;
  readonly experts: number;
  readonly slotsPerRank: number;
  readonly layers: number;
}

/** A workload as a name. */
export type WorkloadName =
  | "steady"
  | "season"
  | "region and hour"
  | "sudden shift"
  | "hot experts"
  | "straggler";

/** All workloads, in the order of the tables. */
export const WORKLOADS: readonly WorkloadName[] = [
  "steady",
  "season",
  "region and hour",
  "sudden shift",
  "hot experts",
  "straggler",
];

/** What one interval really is like. */
export interface IntervalTruth {
  /** Tokens a step for each expert of each layer. */
  readonly tokens: readonly (readonly number[])[];
  readonly speeds: readonly number[];
}

/** Interval of the sudden shift. */
export const SHIFT_AT = 80;
/** Intervals in which a rank is slow. */
export const STRAGGLE_FROM = 60;
export const STRAGGLE_UNTIL = 140;
const STRAGGLER_SPEED = 0.6;
const TOKENS_PER_EXPERT = 64;
const HOUR_INTERVALS = 60;
const SPREAD = 0.6;
const HOT_SPREAD = 1.2;
const REGIONS = 3;

/** Draws the truth of all intervals of a workload. */
export function createWorkload(
  name: WorkloadName,
  shape: GroupShape,
  options: { readonly intervals: number; readonly seed: number },
): readonly IntervalTruth[] {
  const random = new RandomSource(options.seed);
  const layers = Array.from(
    { length: shape.layers },
    () => new LayerPopularity(name, shape.experts, random),
  );
  return Array.from({ length: options.intervals }, (_, interval) => ({
    tokens: layers.map((layer) => layer.next(interval)),
    speeds: speedsAt(name, shape.ranks, interval),
  }));
}

function speedsAt(
  name: WorkloadName,
  ranks: number,
  interval: number,
): readonly number[] {
  const isSlow = name === "straggler" && interval >= STRAGGLE_FROM &&
    interval < STRAGGLE_UNTIL;
  return Array.from(
    { length: ranks },
    (_, rank) => isSlow && rank === 1 ? STRAGGLER_SPEED : 1,
  );
}

/** Popularity of the experts of one layer, as it goes on. */
class LayerPopularity {
  readonly #name: WorkloadName;
  readonly #random: RandomSource;
  #logs: number[];
  readonly #regions: readonly (readonly number[])[];

  constructor(name: WorkloadName, experts: number, random: RandomSource) {
    this.#name = name;
    this.#random = random;
    const spread = name === "hot experts" ? HOT_SPREAD : SPREAD;
    this.#logs = this.#draw(experts, spread);
    this.#regions = Array.from(
      { length: REGIONS },
      () => this.#draw(experts, SPREAD),
    );
  }

  next(interval: number): readonly number[] {
    if (this.#name === "season") this.#drift(0.02);
    if (this.#name === "hot experts") this.#drift(0.01);
    if (this.#name === "sudden shift" && interval === SHIFT_AT) this.#shift();
    return normalise(this.#logsAt(interval));
  }

  #logsAt(interval: number): readonly number[] {
    if (this.#name !== "region and hour") return this.#logs;
    const weights = this.#regions.map((_, region) => {
      const phase = interval / HOUR_INTERVALS + region / REGIONS;
      return 1 + Math.sin(2 * Math.PI * phase);
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return this.#logs.map((_, expert) =>
      this.#regions.reduce(
        (sum, logs, region) =>
          sum + (weights[region] ?? 0) / total * (logs[expert] ?? 0),
        0,
      )
    );
  }

  #draw(experts: number, spread: number): number[] {
    return Array.from(
      { length: experts },
      () => this.#random.nextNormal(0, spread),
    );
  }

  /** A walk that is drawn back to the middle, so that its spread lasts. */
  #drift(pace: number): void {
    const spread = this.#name === "hot experts" ? HOT_SPREAD : SPREAD;
    const keep = Math.sqrt(1 - pace);
    this.#logs = this.#logs.map((log) =>
      log * keep + this.#random.nextNormal(0, spread * Math.sqrt(pace))
    );
  }

  /** Three in ten experts change places. */
  #shift(): void {
    const moved = this.#logs.map((_, expert) => expert)
      .filter(() => this.#random.nextFraction() < 0.3);
    const logs = [...this.#logs];
    for (const [index, expert] of moved.entries()) {
      const from = moved[(index + 1) % moved.length] as number;
      logs[expert] = this.#logs[from] as number;
    }
    this.#logs = logs;
  }
}

function normalise(logs: readonly number[]): readonly number[] {
  const weights = logs.map(Math.exp);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const tokens = TOKENS_PER_EXPERT * logs.length;
  return weights.map((weight) => weight / total * tokens);
}
