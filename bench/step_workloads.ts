/**
 * Workloads for the benchmark of expert maps: the tokens of each expert and the speed of
 * each rank in every interval, generated from a seed.
 *
 * Assumptions: the popularity of experts is log-normally distributed. Layers are
 * independent. A step has enough tokens that the mean counts of an interval have a noise
 * of about 1%.
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

/** Name of a workload. */
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

/** Actual load of one interval, without the noise and gaps of reports. */
export interface ActualInterval {
  /** Tokens per step for each expert of each layer. */
  readonly tokens: readonly (readonly number[])[];
  /** Relative speed of each rank. */
  readonly speeds: readonly number[];
}

/** Interval in which the sudden shift happens. */
export const SHIFT_INTERVAL = 80;
/** First interval in which a rank is slow. */
export const STRAGGLER_START_INTERVAL = 60;
/** First interval in which the rank has its normal speed again. */
export const STRAGGLER_END_INTERVAL = 140;
const STRAGGLER_SPEED = 0.6;
const TOKENS_PER_EXPERT = 64;
const REGION_CYCLE_INTERVALS = 60;
/** Standard deviation of the logarithm of an expert's popularity. */
const LOG_DEVIATION = 0.6;
const HOT_LOG_DEVIATION = 1.2;
const REGION_COUNT = 3;

/** Generates the intervals of a workload. */
export function createWorkload(
  name: WorkloadName,
  shape: GroupShape,
  options: { readonly intervals: number; readonly seed: number },
): readonly ActualInterval[] {
  const random = new RandomSource(options.seed);
  const layers = Array.from(
    { length: shape.layers },
    () => new LayerPopularity(name, shape.experts, random),
  );
  return Array.from({ length: options.intervals }, (_, interval) => ({
    tokens: layers.map((layer) => layer.nextTokens(interval)),
    speeds: getSpeeds(name, shape.ranks, interval),
  }));
}

function getSpeeds(
  name: WorkloadName,
  ranks: number,
  interval: number,
): readonly number[] {
  const isSlow = name === "straggler" && interval >= STRAGGLER_START_INTERVAL &&
    interval < STRAGGLER_END_INTERVAL;
  return Array.from(
    { length: ranks },
    (_, rank) => isSlow && rank === 1 ? STRAGGLER_SPEED : 1,
  );
}

/** Popularity of the experts of one layer, which may change from interval to interval. */
class LayerPopularity {
  readonly #name: WorkloadName;
  readonly #random: RandomSource;
  #logWeights: number[];
  readonly #regions: readonly (readonly number[])[];

  constructor(name: WorkloadName, experts: number, random: RandomSource) {
    this.#name = name;
    this.#random = random;
    const deviation = name === "hot experts"
      ? HOT_LOG_DEVIATION
      : LOG_DEVIATION;
    this.#logWeights = this.#sampleLogWeights(experts, deviation);
    this.#regions = Array.from(
      { length: REGION_COUNT },
      () => this.#sampleLogWeights(experts, LOG_DEVIATION),
    );
  }

  nextTokens(interval: number): readonly number[] {
    if (this.#name === "season") this.#drift(0.02);
    if (this.#name === "hot experts") this.#drift(0.01);
    if (this.#name === "sudden shift" && interval === SHIFT_INTERVAL) {
      this.#shuffleExperts();
    }
    return toTokenCounts(this.#getLogWeights(interval));
  }

  #getLogWeights(interval: number): readonly number[] {
    if (this.#name !== "region and hour") return this.#logWeights;
    const weights = this.#regions.map((_, region) => {
      const phase = interval / REGION_CYCLE_INTERVALS + region / REGION_COUNT;
      return 1 + Math.sin(2 * Math.PI * phase);
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return this.#logWeights.map((_, expert) =>
      this.#regions.reduce(
        (sum, logs, region) =>
          sum + (weights[region] ?? 0) / total * (logs[expert] ?? 0),
        0,
      )
    );
  }

  #sampleLogWeights(experts: number, deviation: number): number[] {
    return Array.from(
      { length: experts },
      () => this.#random.nextNormal(0, deviation),
    );
  }

  /** Applies a mean-reverting random walk, which keeps the deviation constant. */
  #drift(rate: number): void {
    const deviation = this.#name === "hot experts"
      ? HOT_LOG_DEVIATION
      : LOG_DEVIATION;
    const retainedFraction = Math.sqrt(1 - rate);
    this.#logWeights = this.#logWeights.map((logWeight) =>
      logWeight * retainedFraction +
      this.#random.nextNormal(0, deviation * Math.sqrt(rate))
    );
  }

  /** Rotates the popularity among about 30% of the experts, chosen at random. */
  #shuffleExperts(): void {
    const movedExperts = this.#logWeights.map((_, expert) => expert)
      .filter(() => this.#random.nextFraction() < 0.3);
    const logWeights = [...this.#logWeights];
    for (const [index, expert] of movedExperts.entries()) {
      const from = movedExperts[(index + 1) % movedExperts.length] as number;
      logWeights[expert] = this.#logWeights[from] as number;
    }
    this.#logWeights = logWeights;
  }
}

function toTokenCounts(logWeights: readonly number[]): readonly number[] {
  const weights = logWeights.map(Math.exp);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const tokens = TOKENS_PER_EXPERT * logWeights.length;
  return weights.map((weight) => weight / total * tokens);
}
