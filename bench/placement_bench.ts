/**
 * Benchmark of expert maps: compares the step-time skew and the moves of planners.
 *
 * Model: a rank's time for a layer is the number of tokens of its experts divided by its
 * speed. A layer takes as long as its slowest rank, and a step takes the sum of its
 * layers. The planner observes the counts of earlier intervals, with noise, a delay and
 * missing values. A new map takes effect once its experts are loaded from the weight
 * store.
 *
 * @module
 */
import { RandomSource } from "../src/core/random_source.ts";
import type { LayerPlacement } from "../src/messages/group_types.ts";
import {
  GreedyPacker,
  packGreedily,
} from "../src/policy/placement/greedy_packer.ts";
import { LoadEstimator } from "../src/policy/placement/load_estimator.ts";
import {
  getRankTimes,
  getSlowestTimeBound,
} from "../src/policy/placement/rank_times.ts";
import {
  REBALANCE_PRESETS,
  Rebalancer,
} from "../src/policy/placement/rebalancer.ts";
import {
  FixedPlanner,
  type PlacementPlanner,
} from "../src/policy/placement/types.ts";
import {
  type ActualInterval,
  createWorkload,
  type GroupShape,
  SHIFT_INTERVAL,
  type WorkloadName,
  WORKLOADS,
} from "./step_workloads.ts";

/** Name of a planner. */
export type PlannerName = "none" | "full" | "full, free" | "skew" | "cost";

/** All planners, in the order of the tables. */
export const PLANNERS: readonly PlannerName[] = [
  "none",
  "full",
  "skew",
  "cost",
];

/** Delay and losses of the reports to the planner. */
export interface ReportFaults {
  /** Number of intervals by which reports are delayed. */
  readonly lagIntervals: number;
  /** Fraction of reported values that are missing. */
  readonly missingFraction: number;
}

/** Results of one planner on one workload. */
export interface PlacementResult {
  readonly workload: WorkloadName;
  readonly shape: string;
  readonly planner: PlannerName;
  /** Ratio of the slowest rank's time to the mean, averaged over all intervals. */
  readonly meanSkew: number;
  readonly p99Skew: number;
  /** Mean of the lowest skew that any placement could reach. */
  readonly lowerBound: number;
  /** Experts moved per layer and interval. */
  readonly movesPerInterval: number;
  /** Intervals from the sudden shift until the skew has recovered; -1 if it never has. */
  readonly intervalsToRecover: number;
}

/** Group shapes by name, in the order of the table. */
export const SHAPES: Readonly<Record<string, GroupShape>> = {
  "8 ranks, 64 experts, no spare": {
    ranks: 8,
    experts: 64,
    slotsPerRank: 8,
    layers: 3,
  },
  "8 ranks, 64 experts, 16 spare": {
    ranks: 8,
    experts: 64,
    slotsPerRank: 10,
    layers: 3,
  },
  "32 ranks, 128 experts, 32 spare": {
    ranks: 32,
    experts: 128,
    slotsPerRank: 5,
    layers: 3,
  },
};

/** Number of a layer's experts that the weight store delivers in an interval. */
const LOADED_EXPERTS_PER_INTERVAL = 64;
const INTERVAL_COUNT = 200;
/** The first intervals are not counted, as every planner starts with the same map. */
const WARM_UP_INTERVALS = 10;
const NOISE_DEVIATION = 0.01;
const SEED = 20261202;
/** The skew has recovered when its ratio to that before the shift is at most this. */
const MAX_RECOVERED_RATIO = 1.03;

/** Options of {@link runPlacementBench}. */
export interface PlacementBenchOptions {
  readonly faults?: ReportFaults;
  readonly workloads?: readonly WorkloadName[];
  readonly shapes?: readonly string[];
  readonly planners?: Readonly<Record<string, PlacementPlanner>>;
}

/** Runs every planner on every workload and shape. */
export function runPlacementBench(
  options: PlacementBenchOptions = {},
): readonly PlacementResult[] {
  const reportFaults = options.faults ??
    { lagIntervals: 1, missingFraction: 0.02 };
  const planners = options.planners ?? createPlanners();
  const results: PlacementResult[] = [];
  for (const shapeName of options.shapes ?? Object.keys(SHAPES)) {
    const shape = SHAPES[shapeName] as GroupShape;
    for (const workload of options.workloads ?? WORKLOADS) {
      const intervals = createWorkload(workload, shape, {
        intervals: INTERVAL_COUNT,
        seed: SEED,
      });
      for (const [name, planner] of Object.entries(planners)) {
        const simulation = new PlacementSimulation(shape, planner, {
          ...reportFaults,
          loadedExpertsPerInterval: name.endsWith("free")
            ? Number.POSITIVE_INFINITY
            : LOADED_EXPERTS_PER_INTERVAL,
        });
        results.push({
          workload,
          shape: shapeName,
          planner: name as PlannerName,
          ...simulation.run(intervals),
        });
      }
    }
  }
  return results;
}

/** Creates the planners of the program and the baselines. */
export function createPlanners(): Readonly<
  Record<PlannerName, PlacementPlanner>
> {
  return {
    none: new FixedPlanner(),
    full: new GreedyPacker(),
    // Runs with an unlimited weight store, which shows the best result of repacking.
    "full, free": new GreedyPacker(),
    skew: new Rebalancer(REBALANCE_PRESETS.skew),
    cost: new Rebalancer(REBALANCE_PRESETS.cost),
  };
}

interface SimulationConditions extends ReportFaults {
  /** Number of a layer's experts that the weight store delivers in an interval. */
  readonly loadedExpertsPerInterval: number;
}

interface LayerState {
  placement: LayerPlacement;
  /** The next map, while its experts are being loaded. */
  loading:
    | { readonly placement: LayerPlacement; intervalsLeft: number }
    | undefined;
  readonly estimator: LoadEstimator;
}

/** Simulates one planner on one workload. */
class PlacementSimulation {
  readonly #shape: GroupShape;
  readonly #planner: PlacementPlanner;
  readonly #conditions: SimulationConditions;
  readonly #random = new RandomSource(SEED + 1);
  #moves = 0;

  constructor(
    shape: GroupShape,
    planner: PlacementPlanner,
    conditions: SimulationConditions,
  ) {
    this.#shape = shape;
    this.#planner = planner;
    this.#conditions = conditions;
  }

  run(
    intervals: readonly ActualInterval[],
  ): Omit<PlacementResult, "workload" | "shape" | "planner"> {
    const layers = this.#createLayers(intervals[0] as ActualInterval);
    const skews: number[] = [];
    const lowerBounds: number[] = [];
    for (const [interval, actual] of intervals.entries()) {
      if (interval === WARM_UP_INTERVALS) this.#moves = 0;
      skews.push(computeSkew(layers, actual));
      lowerBounds.push(this.#computeLowerBound(actual));
      const reported = intervals[interval + 1 - this.#conditions.lagIntervals];
      if (reported !== undefined) this.#planLayers(layers, reported);
    }
    const counted = skews.slice(WARM_UP_INTERVALS);
    const sorted = [...counted].sort((left, right) => left - right);
    return {
      meanSkew: getMean(counted),
      p99Skew: sorted[Math.floor(sorted.length * 0.99)] as number,
      lowerBound: getMean(lowerBounds.slice(WARM_UP_INTERVALS)),
      movesPerInterval: this.#moves / this.#shape.layers / counted.length,
      intervalsToRecover: countIntervalsToRecover(skews),
    };
  }

  #createLayers(actual: ActualInterval): readonly LayerState[] {
    const { ranks, slotsPerRank, experts } = this.#shape;
    const slots = new Array<number>(ranks).fill(slotsPerRank);
    return actual.tokens.map((tokens) => ({
      placement: packGreedily({ tokens, speeds: actual.speeds }, slots),
      loading: undefined,
      estimator: new LoadEstimator(experts, ranks),
    }));
  }

  #planLayers(layers: readonly LayerState[], actual: ActualInterval): void {
    for (const [index, layer] of layers.entries()) {
      layer.estimator.observe({
        tokens: (actual.tokens[index] ?? []).map((count) =>
          this.#observeWithFaults(count)
        ),
        slowdowns: actual.speeds.map((speed) =>
          this.#observeWithFaults(1 / speed)
        ),
      });
      this.#planLayer(layer);
    }
  }

  #planLayer(layer: LayerState): void {
    if (layer.loading !== undefined) {
      layer.loading.intervalsLeft--;
      if (layer.loading.intervalsLeft > 0) return;
      layer.placement = layer.loading.placement;
      layer.loading = undefined;
    }
    const planned = this.#planner.plan(layer.placement, layer.estimator.load);
    if (planned.moves === 0) {
      layer.placement = planned.placement;
      return;
    }
    this.#moves += planned.moves;
    const { loadedExpertsPerInterval } = this.#conditions;
    layer.loading = {
      placement: planned.placement,
      intervalsLeft: Math.max(
        1,
        Math.ceil(planned.moves / loadedExpertsPerInterval),
      ),
    };
  }

  #observeWithFaults(value: number): number | undefined {
    const isMissing =
      this.#random.nextFraction() < this.#conditions.missingFraction;
    const observed = value * (1 + this.#random.nextNormal(0, NOISE_DEVIATION));
    return isMissing ? undefined : Math.max(0, observed);
  }

  #computeLowerBound(actual: ActualInterval): number {
    const slots = this.#shape.ranks * this.#shape.slotsPerRank;
    let slowestTime = 0;
    let balancedTime = 0;
    for (const tokens of actual.tokens) {
      const load = { tokens, speeds: actual.speeds };
      slowestTime += getSlowestTimeBound(load, slots);
      balancedTime += computeBalancedTime(tokens, actual.speeds);
    }
    return slowestTime / balancedTime;
  }
}

/**
 * Returns the ratio of the time of all layers, by their slowest ranks, to the time with
 * perfectly balanced ranks. With ranks of equal speed this is the ratio of the slowest
 * rank's time to the mean.
 */
function computeSkew(
  layers: readonly LayerState[],
  actual: ActualInterval,
): number {
  let slowestTime = 0;
  let balancedTime = 0;
  for (const [index, layer] of layers.entries()) {
    const tokens = actual.tokens[index] ?? [];
    const load = { tokens, speeds: actual.speeds };
    slowestTime += Math.max(...getRankTimes(layer.placement, load));
    balancedTime += computeBalancedTime(tokens, actual.speeds);
  }
  return slowestTime / balancedTime;
}

function computeBalancedTime(
  tokens: readonly number[],
  speeds: readonly number[],
): number {
  return getSum(tokens) / getSum(speeds);
}

function countIntervalsToRecover(skews: readonly number[]): number {
  const before = getMean(skews.slice(SHIFT_INTERVAL - 20, SHIFT_INTERVAL));
  for (let interval = SHIFT_INTERVAL; interval < skews.length; interval++) {
    if ((skews[interval] as number) <= before * MAX_RECOVERED_RATIO) {
      return interval - SHIFT_INTERVAL;
    }
  }
  return -1;
}

function getSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function getMean(values: readonly number[]): number {
  return getSum(values) / values.length;
}
