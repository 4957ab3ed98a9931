/**
 * A placement that can be changed step by step, with the rank times kept up to
 * date.
 *
 * @module
 * @internal
 */
import type { LayerPlacement } from "../../group/types.ts";
import { countReplicas } from "./rank_times.ts";
import type { LayerLoad } from "./types.ts";

/** Another expert in one slot. */
export interface SlotChange {
  readonly rank: number;
  readonly slot: number;
  readonly expert: number;
}

/** How strongly the slowest ranks count against the others. */
const POTENTIAL_POWER = 8;

/** A placement that can be changed step by step. */
export class LayerState {
  readonly #experts: number[][];
  readonly #replicas: number[];
  readonly #load: LayerLoad;
  /** Ranks that hold each expert, once for each replica. */
  readonly #holders: number[][];
  readonly #times: number[];
  readonly #mean: number;

  /** Begins with a copy of a placement. */
  constructor(placement: LayerPlacement, load: LayerLoad) {
    this.#experts = placement.experts.map((experts) => [...experts]);
    this.#load = load;
    this.#replicas = countReplicas(placement, load.tokens.length);
    this.#holders = load.tokens.map(() => []);
    for (const [rank, experts] of this.#experts.entries()) {
      for (const expert of experts) this.#holders[expert]?.push(rank);
    }
    this.#times = this.#experts.map(() => 0);
    for (let expert = 0; expert < load.tokens.length; expert++) {
      this.#addTime(expert, 1);
    }
    const speed = load.speeds.reduce((sum, one) => sum + one, 0);
    const tokens = load.tokens.reduce((sum, one) => sum + one, 0);
    this.#mean = Math.max(tokens / speed, Number.MIN_VALUE);
  }

  /** Ranks of the group. */
  get ranks(): number {
    return this.#experts.length;
  }

  /** Time of the slowest rank over that of a perfect spread. */
  get slowest(): number {
    return Math.max(...this.#times) / this.#mean;
  }

  /** Falls when the slowest ranks get faster, even if several are slowest. */
  get potential(): number {
    let sum = 0;
    for (const time of this.#times) {
      sum += (time / this.#mean) ** POTENTIAL_POWER;
    }
    return sum;
  }

  /** The slowest rank. */
  slowestRank(): number {
    return this.#times.indexOf(Math.max(...this.#times));
  }

  /** Experts of a rank, by slot. */
  expertsOf(rank: number): readonly number[] {
    return this.#experts[rank] as readonly number[];
  }

  /** Whether an expert has more than one replica. */
  isReplicated(expert: number): boolean {
    return (this.#replicas[expert] as number) > 1;
  }

  /** Whether a rank holds an expert. */
  holds(rank: number, expert: number): boolean {
    return this.expertsOf(rank).includes(expert);
  }

  /** Puts other experts into slots. */
  apply(changes: readonly SlotChange[]): readonly SlotChange[] {
    const undo: SlotChange[] = [];
    for (const change of changes) undo.unshift(this.#applyOne(change));
    return undo;
  }

  /** The placement as it is now. */
  toPlacement(): LayerPlacement {
    return { experts: this.#experts.map((experts) => [...experts]) };
  }

  #applyOne(change: SlotChange): SlotChange {
    const experts = this.#experts[change.rank] as number[];
    const removed = experts[change.slot] as number;
    this.#addTime(removed, -1);
    this.#addTime(change.expert, -1);
    experts[change.slot] = change.expert;
    const holders = this.#holders[removed] as number[];
    holders.splice(holders.indexOf(change.rank), 1);
    (this.#holders[change.expert] as number[]).push(change.rank);
    this.#replicas[removed] = holders.length;
    this.#replicas[change.expert] =
      (this.#holders[change.expert] as number[]).length;
    this.#addTime(removed, 1);
    this.#addTime(change.expert, 1);
    return { ...change, expert: removed };
  }

  #addTime(expert: number, sign: 1 | -1): void {
    const holders = this.#holders[expert] as number[];
    const tokens = (this.#load.tokens[expert] as number) / holders.length;
    for (const rank of holders) {
      const time = tokens / (this.#load.speeds[rank] as number);
      this.#times[rank] = (this.#times[rank] as number) + sign * time;
    }
  }
}
