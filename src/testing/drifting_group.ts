/**
 * A group of many ranks whose popularity stands still for some seconds and then changes
 * at once, with maps that follow it as a decider's do, in steps of virtual time.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { getMaxCopiesPerRank } from "../group/formed/copies_per_rank.ts";
import { Popularity } from "../group/formed/popularity.ts";
import type { ExpertMap } from "../messages/group_types.ts";
import { tryPlanIncrement } from "../policy/placement/incremental_planner.ts";

const SLOTS_PER_RANK = 5;
/** As played days showed it: changes each 2.1 s, a sixth of all choices for one expert. */
const CHANGE_INTERVAL_MS = 2100;
const ZIPF_EXPONENT = 0.93;
const CHOICES_PER_STEP = 20_000;
const STEP_MS = 25;
/** Milliseconds from a whole copy until the map is in force. */
const SWITCH_MS = 150;
const USUAL_PASS_MS = 60;

/** A group and the machine that plans for it. */
export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  /** Milliseconds to load one expert. */
  readonly loadMs: number;
  /** Milliseconds to plan a map, and for each copy in it. */
  readonly planningMs: number;
  readonly planningMsPerCopy: number;
}

/** A group of 24 ranks, planned for by a machine whose time does not bind. */
const USUAL_SHAPE: GroupShape = {
  ranks: 24,
  layers: 4,
  experts: 96,
  loadMs: 76,
  planningMs: 50,
  planningMsPerCopy: 0,
};

/** What varies between runs. */
export interface DriftingGroupOptions {
  readonly seed: number;
  /** Milliseconds between two counts. */
  readonly countIntervalMs: number;
  /** 24 ranks by default. */
  readonly shape?: GroupShape;
  /** Copies at a rank for one map; as a decider has them by default. */
  readonly copiesPerRank?: number;
}

/** What a run showed of the most loaded rank, over a mean one. */
export interface DriftResult {
  readonly meanSkew: number;
  /** Part of the time in which it had more than 2.5 times the mean. */
  readonly partTooLong: number;
}

const LONG_PASS_SKEW = 2.5;

/** A group whose popularity changes at once now and then. */
export class DriftingGroup {
  readonly #options: DriftingGroupOptions;
  readonly #shape: GroupShape;
  readonly #random: RandomSource;
  readonly #popularity = new Popularity();
  #shares: readonly (readonly number[])[];
  #counts: readonly (readonly number[])[];
  #map: ExpertMap;
  #pending: { readonly map: ExpertMap; readonly at: number } | undefined;

  /** The same options give the same run. */
  constructor(options: DriftingGroupOptions) {
    this.#options = options;
    this.#shape = options.shape ?? USUAL_SHAPE;
    const none = new Array<number>(this.#shape.experts).fill(0);
    this.#shares = this.#createLayers(() => none);
    this.#counts = this.#createLayers(() => none);
    this.#map = this.#createFirstMap();
    this.#random = new RandomSource(options.seed);
  }

  /** Runs for so many milliseconds. */
  run(untilMs: number): DriftResult {
    const skews: number[] = [];
    for (let now = 0; now < untilMs; now += STEP_MS) {
      if (now % CHANGE_INTERVAL_MS === 0) this.#change();
      this.#count();
      if (now % this.#options.countIntervalMs === 0) this.#plan(now);
      this.#switch(now);
      skews.push(this.#skew());
    }
    const tooLong = skews.filter((skew) => skew > LONG_PASS_SKEW);
    return {
      meanSkew: skews.reduce((sum, skew) => sum + skew, 0) / skews.length,
      partTooLong: tooLong.length / skews.length,
    };
  }

  /** Other experts are in demand, in each layer by itself. */
  #change(): void {
    this.#shares = this.#createLayers(() => {
      const weights = Array.from(
        { length: this.#shape.experts },
        (_, place) => (place + 1) ** -ZIPF_EXPONENT,
      );
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      const shares = new Array<number>(this.#shape.experts).fill(0);
      for (const expert of this.#shuffled()) {
        shares[expert] = (weights.pop() as number) / total;
      }
      return shares;
    });
  }

  #shuffled(): readonly number[] {
    return Array.from({ length: this.#shape.experts }, (_, expert) => expert)
      .map((expert) => ({ expert, key: this.#random.nextFraction() }))
      .sort((left, right) => left.key - right.key)
      .map(({ expert }) => expert);
  }

  #count(): void {
    this.#counts = this.#counts.map((row, layer) =>
      row.map((count, expert) =>
        count + CHOICES_PER_STEP * this.#share(layer, expert)
      )
    );
  }

  #plan(now: number): void {
    this.#popularity.observe(0, this.#counts, now);
    if (this.#pending !== undefined || !this.#popularity.isKnown) return;
    const { ranks, loadMs, planningMs, planningMsPerCopy } = this.#shape;
    const mostNewPerRank = this.#options.copiesPerRank ??
      getMaxCopiesPerRank({ loadMs, passMs: USUAL_PASS_MS, ranks });
    const plan = tryPlanIncrement({
      current: this.#map,
      tokens: this.#popularity.tokens,
      paces: new Array<number>(ranks).fill(1),
    }, {
      slotsPerRank: SLOTS_PER_RANK,
      maxNewPerRank: mostNewPerRank,
      maxNewPerLayer: 2,
      loadMs,
    });
    if (plan === undefined) return;
    const plannedMs = planningMs + planningMsPerCopy * plan.copies;
    const at = now + plannedMs + mostNewPerRank * loadMs + SWITCH_MS;
    this.#pending = { map: plan.map, at };
  }

  #switch(now: number): void {
    if (this.#pending === undefined || now < this.#pending.at) return;
    this.#map = this.#pending.map;
    this.#pending = undefined;
  }

  #skew(): number {
    const skews = this.#map.layers.map(({ experts }, layer) => {
      const holders = new Array<number>(this.#shape.experts).fill(0);
      for (const expert of experts.flat()) {
        holders[expert] = (holders[expert] as number) + 1;
      }
      const loads = experts.map((held) =>
        held.reduce(
          (sum, expert) =>
            sum + this.#share(layer, expert) / (holders[expert] as number),
          0,
        )
      );
      return this.#shape.ranks * Math.max(...loads);
    });
    return skews.reduce((sum, skew) => sum + skew, 0) / this.#shape.layers;
  }

  #share(layer: number, expert: number): number {
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
        (_, place) => rank + place * ranks,
      ));
    return { layers: this.#createLayers(() => ({ experts: held })) };
  }
}
