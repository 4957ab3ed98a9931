/**
 * Bench of expert maps: step-time skew against moves, planner by planner.
 *
 * Model: a rank's time for a layer is its experts' tokens over its speed; a
 * layer takes as long as its slowest rank; a step is the sum of its layers. The
 * planner sees the counts of earlier intervals, with noise, late and with gaps.
 * A new map takes effect once its experts are loaded from the weight store.
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
  createWorkload,
  type GroupShape,
  type IntervalTruth,
  SHIFT_AT,
  type WorkloadName,
  WORKLOADS,
} from "./step_workloads.ts";

/** A planner as a name. */
export type PlannerName = "none" | "full" | "full, free" | "skew" | "cost";

/** All planners, in the order of the tables. */
export const PLANNERS: readonly PlannerName[] = [
  "none",
  "full",
  "skew",
  "cost",
];

/** How reports reach the planner. */
export interface ReportFaults {
  /** Intervals by which reports are late. */
  readonly lag: number;
  /** Share of reports that are missing. */
  readonly missing: number;
}

/** What one planner did on one workload. */
export interface PlacementResult {
  readonly workload: WorkloadName;
  readonly shape: string;
  readonly planner: PlannerName;
  /** Slowest rank's time over the mean, over all intervals. */
  readonly meanSkew: number;
  readonly p99Skew: number;
  /** Mean of what no placement can beat. */
  readonly lowerBound: number;
  /** Experts moved in a layer, per interval. */
  readonly movesPerInterval: number;
  /** Intervals after the sudden shift until skew is back; -1: never. */
  readonly intervalsToRecover: number;
}

/** Shapes of the table. */
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

/** Experts of a layer that the weight store delivers in an interval. */
const LOADED_PER_INTERVAL = 64;
const INTERVALS = 200;
/** The first intervals are left out: every planner begins from the same map. */
const WARM_UP = 10;
const NOISE = 0.01;
const SEED = 20261202;
/** Skew counts as back when it is this close to that before the shift. */
const RECOVERED = 1.03;

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
  const faults = options.faults ?? { lag: 1, missing: 0.02 };
  const planners = options.planners ?? createPlanners();
  const results: PlacementResult[] = [];
  for (const shapeName of options.shapes ?? Object.keys(SHAPES)) {
    const shape = SHAPES[shapeName] as GroupShape;
    for (const workload of options.workloads ?? WORKLOADS) {
      const truths = createWorkload(workload, shape, {
        intervals: INTERVALS,
        seed: SEED,
      });
      for (const [name, planner] of Object.entries(planners)) {
        const run = new PlacementRun(shape, planner, {
          ...faults,
          loadedPerInterval: name.endsWith("free")
            ? Number.POSITIVE_INFINITY
            : LOADED_PER_INTERVAL,
        });
        results.push({
          workload,
          shape: shapeName,
          planner: name as PlannerName,
          ...run.run(truths),
        });
      }
    }
  }
  return results;
}

/** Our planners and the baselines. */
export function createPlanners(): Readonly<
  Record<PlannerName, PlacementPlanner>
> {
  return {
    none: new FixedPlanner(),
    full: new GreedyPacker(),
    // As if the weight store had no limit: the most that repacking can do.
    "full, free": new GreedyPacker(),
    skew: new Rebalancer(REBALANCE_PRESETS.skew),
    cost: new Rebalancer(REBALANCE_PRESETS.cost),
  };
}

interface RunConditions extends ReportFaults {
  /** Experts of a layer that the weight store delivers in an interval. */
  readonly loadedPerInterval: number;
}

interface LayerRun {
  placement: LayerPlacement;
  /** A map whose experts are being loaded. */
  next:
    | { readonly placement: LayerPlacement; intervalsLeft: number }
    | undefined;
  readonly estimator: LoadEstimator;
}

/** One planner on one workload. */
class PlacementRun {
  readonly #shape: GroupShape;
  readonly #planner: PlacementPlanner;
  readonly #faults: RunConditions;
  readonly #random = new RandomSource(SEED + 1);
  #moves = 0;

  constructor(
    shape: GroupShape,
    planner: PlacementPlanner,
    faults: RunConditions,
  ) {
    this.#shape = shape;
    this.#planner = planner;
    this.#faults = faults;
  }

  run(
    truths: readonly IntervalTruth[],
  ): Omit<PlacementResult, "workload" | "shape" | "planner"> {
    const layers = this.#startLayers(truths[0] as IntervalTruth);
    const skews: number[] = [];
    const bounds: number[] = [];
    for (const [interval, truth] of truths.entries()) {
      if (interval === WARM_UP) this.#moves = 0;
      skews.push(skewOf(layers, truth));
      bounds.push(this.#boundOf(truth));
      const reported = truths[interval + 1 - this.#faults.lag];
      if (reported !== undefined) this.#planAll(layers, reported);
    }
    const counted = skews.slice(WARM_UP);
    const sorted = [...counted].sort((left, right) => left - right);
    return {
      meanSkew: mean(counted),
      p99Skew: sorted[Math.floor(sorted.length * 0.99)] as number,
      lowerBound: mean(bounds.slice(WARM_UP)),
      movesPerInterval: this.#moves / this.#shape.layers / counted.length,
      intervalsToRecover: recoveryOf(skews),
    };
  }

  #startLayers(truth: IntervalTruth): readonly LayerRun[] {
    const { ranks, slotsPerRank, experts } = this.#shape;
    const slots = new Array<number>(ranks).fill(slotsPerRank);
    return truth.tokens.map((tokens) => ({
      placement: packGreedily({ tokens, speeds: truth.speeds }, slots),
      next: undefined,
      estimator: new LoadEstimator(experts, ranks),
    }));
  }

  #planAll(layers: readonly LayerRun[], truth: IntervalTruth): void {
    for (const [index, layer] of layers.entries()) {
      layer.estimator.observe({
        tokens: (truth.tokens[index] ?? []).map((count) => this.#seen(count)),
        slowdowns: truth.speeds.map((speed) => this.#seen(1 / speed)),
      });
      this.#plan(layer);
    }
  }

  #plan(layer: LayerRun): void {
    if (layer.next !== undefined) {
      layer.next.intervalsLeft--;
      if (layer.next.intervalsLeft > 0) return;
      layer.placement = layer.next.placement;
      layer.next = undefined;
    }
    const planned = this.#planner.plan(layer.placement, layer.estimator.load);
    if (planned.moves === 0) {
      layer.placement = planned.placement;
      return;
    }
    this.#moves += planned.moves;
    const { loadedPerInterval } = this.#faults;
    layer.next = {
      placement: planned.placement,
      intervalsLeft: Math.max(1, Math.ceil(planned.moves / loadedPerInterval)),
    };
  }

  #seen(value: number): number | undefined {
    const isMissing = this.#random.nextFraction() < this.#faults.missing;
    const seen = value * (1 + this.#random.nextNormal(0, NOISE));
    return isMissing ? undefined : Math.max(0, seen);
  }

  #boundOf(truth: IntervalTruth): number {
    const slots = this.#shape.ranks * this.#shape.slotsPerRank;
    let slowest = 0;
    let spread = 0;
    for (const tokens of truth.tokens) {
      const load = { tokens, speeds: truth.speeds };
      slowest += getSlowestTimeBound(load, slots);
      spread += perfectSpread(tokens, truth.speeds);
    }
    return slowest / spread;
  }
}

/**
 * Time of all layers by their slowest ranks over that of a perfect spread. With
 * ranks of equal speed this is the slowest rank's time over the mean.
 */
function skewOf(layers: readonly LayerRun[], truth: IntervalTruth): number {
  let slowest = 0;
  let spread = 0;
  for (const [index, layer] of layers.entries()) {
    const tokens = truth.tokens[index] ?? [];
    const load = { tokens, speeds: truth.speeds };
    slowest += Math.max(...getRankTimes(layer.placement, load));
    spread += perfectSpread(tokens, truth.speeds);
  }
  return slowest / spread;
}

function perfectSpread(
  tokens: readonly number[],
  speeds: readonly number[],
): number {
  return sum(tokens) / sum(speeds);
}

function recoveryOf(skews: readonly number[]): number {
  const before = mean(skews.slice(SHIFT_AT - 20, SHIFT_AT));
  for (let interval = SHIFT_AT; interval < skews.length; interval++) {
    if ((skews[interval] as number) <= before * RECOVERED) {
      return interval - SHIFT_AT;
    }
  }
  return -1;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}
