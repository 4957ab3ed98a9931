/**
 * Simulates a group of many ranks in steps of virtual time. The popularity of experts is
 * constant for some seconds and then changes abruptly; maps are planned for it as by
 * a decider.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { getMaxCopiesPerRank } from "../group/formed/copies_per_rank.ts";
import { Popularity } from "../group/formed/popularity.ts";
import type { ExpertMap } from "../messages/group_types.ts";
import { tryPlanIncrement } from "../policy/placement/incremental_planner.ts";

const SLOTS_PER_RANK = 5;
/**
 * Changes occur every 2.1 s and one expert gets a sixth of all choices, as in recorded
 * traffic.
 */
const CHANGE_INTERVAL_MS = 2100;
const ZIPF_EXPONENT = 0.93;
const CHOICES_PER_STEP = 20_000;
const STEP_MS = 25;
/** Milliseconds from the end of loading until the map is in force. */
const SWITCH_MS = 150;
const NORMAL_PASS_MS = 60;

/** The size of a group, and the time to plan a map and load its experts. */
export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  /** Milliseconds to load one expert. */
  readonly loadMs: number;
  /** Milliseconds to plan a map, and additional milliseconds for each copy in it. */
  readonly planningMs: number;
  readonly planningMsPerCopy: number;
}

/** A group of 24 ranks whose planning time is no bottleneck. */
const DEFAULT_SHAPE: GroupShape = {
  ranks: 24,
  layers: 4,
  experts: 96,
  loadMs: 76,
  planningMs: 50,
  planningMsPerCopy: 0,
};

/** Options of a {@link DriftingGroup}. */
export interface DriftingGroupOptions {
  readonly seed: number;
  /** Milliseconds between two counts. */
  readonly countIntervalMs: number;
  /** 24 ranks by default. */
  readonly shape?: GroupShape;
  /** New copies at a rank for one map; by default the number that a decider uses. */
  readonly copiesPerRank?: number;
}

/** Load of the most loaded rank, divided by the mean load. */
export interface DriftResult {
  readonly meanSkew: number;
  /**
   * Fraction of the time in which the most loaded rank had more than 2.5 times the mean
   * load.
   */
  readonly overloadedFraction: number;
}

const OVERLOAD_SKEW = 2.5;

/** A group whose popularity of experts changes abruptly. */
export class DriftingGroup {
  readonly #options: DriftingGroupOptions;
  readonly #shape: GroupShape;
  readonly #random: RandomSource;
  readonly #popularity = new Popularity();
  #shares: readonly (readonly number[])[];
  #counts: readonly (readonly number[])[];
  #map: ExpertMap;
  #pending: { readonly map: ExpertMap; readonly at: number } | undefined;

  /** Creates a group; the same options give the same run. */
  constructor(options: DriftingGroupOptions) {
    this.#options = options;
    this.#shape = options.shape ?? DEFAULT_SHAPE;
    const zeros = new Array<number>(this.#shape.experts).fill(0);
    this.#shares = this.#createLayers(() => zeros);
    this.#counts = this.#createLayers(() => zeros);
    this.#map = this.#createFirstMap();
    this.#random = new RandomSource(options.seed);
  }

  /** Runs for a number of virtual milliseconds. */
  run(untilMs: number): DriftResult {
    const skews: number[] = [];
    for (let now = 0; now < untilMs; now += STEP_MS) {
      if (now % CHANGE_INTERVAL_MS === 0) this.#changePopularity();
      this.#updateCounts();
      if (now % this.#options.countIntervalMs === 0) this.#plan(now);
      this.#trySwitch(now);
      skews.push(this.#computeSkew());
    }
    const overloaded = skews.filter((skew) => skew > OVERLOAD_SKEW);
    return {
      meanSkew: skews.reduce((sum, skew) => sum + skew, 0) / skews.length,
      overloadedFraction: overloaded.length / skews.length,
    };
  }

  /** Changes the popularity of experts, independently in each layer. */
  #changePopularity(): void {
    this.#shares = this.#createLayers(() => {
      const weights = Array.from(
        { length: this.#shape.experts },
        (_, index) => (index + 1) ** -ZIPF_EXPONENT,
      );
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      const shares = new Array<number>(this.#shape.experts).fill(0);
      for (const expert of this.#shuffleExperts()) {
        shares[expert] = (weights.pop() as number) / total;
      }
      return shares;
    });
  }

  #shuffleExperts(): readonly number[] {
    return Array.from({ length: this.#shape.experts }, (_, expert) => expert)
      .map((expert) => ({ expert, key: this.#random.nextFraction() }))
      .sort((left, right) => left.key - right.key)
      .map(({ expert }) => expert);
  }

  #updateCounts(): void {
    this.#counts = this.#counts.map((row, layer) =>
      row.map((count, expert) =>
        count + CHOICES_PER_STEP * this.#getShare(layer, expert)
      )
    );
  }

  #plan(now: number): void {
    this.#popularity.observe(0, this.#counts, now);
    if (this.#pending !== undefined || !this.#popularity.isKnown) return;
    const { ranks, loadMs, planningMs, planningMsPerCopy } = this.#shape;
    const copiesPerRank = this.#options.copiesPerRank ??
      getMaxCopiesPerRank({ loadMs, passMs: NORMAL_PASS_MS, ranks });
    const plan = tryPlanIncrement({
      current: this.#map,
      tokens: this.#popularity.tokens,
      paces: new Array<number>(ranks).fill(1),
    }, {
      slotsPerRank: SLOTS_PER_RANK,
      maxNewPerRank: copiesPerRank,
      maxNewPerLayer: 2,
      loadMs,
    });
    if (plan === undefined) return;
    const plannedMs = planningMs + planningMsPerCopy * plan.copies;
    const at = now + plannedMs + copiesPerRank * loadMs + SWITCH_MS;
    this.#pending = { map: plan.map, at };
  }

  #trySwitch(now: number): void {
    if (this.#pending === undefined || now < this.#pending.at) return;
    this.#map = this.#pending.map;
    this.#pending = undefined;
  }

  #computeSkew(): number {
    const skews = this.#map.layers.map(({ experts }, layer) => {
      const copyCounts = new Array<number>(this.#shape.experts).fill(0);
      for (const expert of experts.flat()) {
        copyCounts[expert] = (copyCounts[expert] as number) + 1;
      }
      const loads = experts.map((held) =>
        held.reduce(
          (sum, expert) =>
            sum +
            this.#getShare(layer, expert) / (copyCounts[expert] as number),
          0,
        )
      );
      return this.#shape.ranks * Math.max(...loads);
    });
    return skews.reduce((sum, skew) => sum + skew, 0) / this.#shape.layers;
  }

  #getShare(layer: number, expert: number): number {
    return this.#shares[layer]?.[expert] ?? 0;
  }

  #createLayers<T>(create: () => T): T[] {
    return Array.from({ length: this.#shape.layers }, create);
  }

  #createFirstMap(): ExpertMap {
    const { experts, ranks } = this.#shape;
    const held = Array.from({ length: ranks }, (_, rank) =>
      Array.from(
        { length: experts / ranks },
        (_, index) => rank + index * ranks,
      ));
    return { layers: this.#createLayers(() => ({ experts: held })) };
  }
}
