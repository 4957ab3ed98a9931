/**
 * The placement of one layer, which can be changed one slot at a time. The effect of a
 * change is computed without making it, in time proportional to the affected replicas
 * rather than to the group.
 *
 * @module
 * @internal
 */
import type { LayerPlacement } from "../../messages/group_types.ts";
import type { LayerLoad } from "./types.ts";

/** A slot of a rank. */
export interface SlotPlace {
  readonly rank: number;
  readonly slot: number;
}

/** The placement of one layer, which can be changed one slot at a time. */
export class LayerState {
  readonly #experts: number[][];
  readonly #load: LayerLoad;
  /** Ranks that hold each expert, once for each replica. */
  readonly #holders: number[][];
  readonly #times: Float64Array;
  /** Pending changes of the time of each rank. */
  readonly #deltas: Float64Array;
  readonly #stagedRanks: number[] = [];
  readonly #mean: number;
  #potential = 0;

  /** Starts with a copy of a placement. */
  constructor(placement: LayerPlacement, load: LayerLoad) {
    this.#experts = placement.experts.map((experts) => [...experts]);
    this.#load = load;
    this.#holders = load.tokens.map(() => []);
    for (const [rank, experts] of this.#experts.entries()) {
      for (const expert of experts) this.#holders[expert]?.push(rank);
    }
    const speed = load.speeds.reduce((sum, value) => sum + value, 0);
    const tokens = load.tokens.reduce((sum, count) => sum + count, 0);
    this.#mean = Math.max(tokens / speed, Number.MIN_VALUE);
    this.#times = new Float64Array(this.#experts.length);
    this.#deltas = new Float64Array(this.#experts.length);
    for (let expert = 0; expert < load.tokens.length; expert++) {
      this.#stageHolders(expert, this.#holdersOf(expert), 1);
    }
    this.#commit();
    this.#potential = this.#sumPowers();
  }

  /** Number of ranks of the group. */
  get ranks(): number {
    return this.#experts.length;
  }

  /** Time of the slowest rank relative to a perfectly even distribution. */
  get slowest(): number {
    return this.#times[this.slowestRank()] as number;
  }

  /**
   * Sum of powers of the rank times. It falls when the slowest ranks get faster, even if
   * several are equally slow.
   */
  get potential(): number {
    return this.#potential;
  }

  /** Returns the slowest rank. */
  slowestRank(): number {
    let slowest = 0;
    for (let rank = 1; rank < this.ranks; rank++) {
      if (this.timeOf(rank) > this.timeOf(slowest)) slowest = rank;
    }
    return slowest;
  }

  /** Returns the time of a rank relative to a perfectly even distribution. */
  timeOf(rank: number): number {
    return this.#times[rank] as number;
  }

  /** Returns the experts of a rank, by slot. */
  expertsOf(rank: number): readonly number[] {
    return this.#experts[rank] as readonly number[];
  }

  /** Returns the expert in a slot. */
  expertAt(place: SlotPlace): number {
    return this.expertsOf(place.rank)[place.slot] as number;
  }

  /** Whether an expert has more than one replica. */
  isReplicated(expert: number): boolean {
    return this.#holdersOf(expert).length > 1;
  }

  /** Whether a rank holds an expert. */
  holds(rank: number, expert: number): boolean {
    return this.expertsOf(rank).includes(expert);
  }

  /** Returns the potential after replacing the expert in a slot, without replacing it. */
  potentialAfterReplace(place: SlotPlace, expert: number): number {
    this.#stageReplace(place, expert);
    return this.#takeStagedPotential();
  }

  /**
   * Returns the potential after swapping two slots of different ranks, without swapping
   * them.
   */
  potentialAfterSwap(left: SlotPlace, right: SlotPlace): number {
    this.#stageSwap(left, right);
    return this.#takeStagedPotential();
  }

  /** Replaces the expert in a slot. */
  replace(place: SlotPlace, expert: number): void {
    const removed = this.expertAt(place);
    this.#stageReplace(place, expert);
    this.#commit();
    this.#setExpert(place, expert);
    this.#removeHolder(removed, place.rank);
    this.#holdersOf(expert).push(place.rank);
    this.#potential = this.#sumPowers();
  }

  /** Swaps the experts of two slots of different ranks. */
  swap(left: SlotPlace, right: SlotPlace): void {
    const leftExpert = this.expertAt(left);
    const rightExpert = this.expertAt(right);
    this.#stageSwap(left, right);
    this.#commit();
    this.#setExpert(left, rightExpert);
    this.#setExpert(right, leftExpert);
    this.#removeHolder(leftExpert, left.rank);
    this.#removeHolder(rightExpert, right.rank);
    this.#holdersOf(leftExpert).push(right.rank);
    this.#holdersOf(rightExpert).push(left.rank);
    this.#potential = this.#sumPowers();
  }

  /** Returns a copy of the current placement. */
  toPlacement(): LayerPlacement {
    return { experts: this.#experts.map((experts) => [...experts]) };
  }

  #stageReplace(place: SlotPlace, expert: number): void {
    const removed = this.expertAt(place);
    const before = this.#holdersOf(removed);
    this.#stageHolders(removed, before, -1);
    const share = this.#shareOf(removed, before.length - 1);
    for (const rank of before) this.#stage(rank, share);
    this.#stage(place.rank, -share);
    const holders = this.#holdersOf(expert);
    this.#stageHolders(expert, holders, -1);
    const newShare = this.#shareOf(expert, holders.length + 1);
    for (const rank of holders) this.#stage(rank, newShare);
    this.#stage(place.rank, newShare);
  }

  #stageSwap(left: SlotPlace, right: SlotPlace): void {
    const leftExpert = this.expertAt(left);
    const rightExpert = this.expertAt(right);
    const leftShare = this.#shareOf(
      leftExpert,
      this.#holdersOf(leftExpert).length,
    );
    const rightShare = this.#shareOf(
      rightExpert,
      this.#holdersOf(rightExpert).length,
    );
    this.#stage(left.rank, rightShare - leftShare);
    this.#stage(right.rank, leftShare - rightShare);
  }

  #takeStagedPotential(): number {
    let potential = this.#potential;
    for (const rank of this.#stagedRanks) {
      const delta = this.#deltas[rank] as number;
      if (delta === 0) continue;
      const time = this.timeOf(rank);
      potential += power(time + delta) - power(time);
      this.#deltas[rank] = 0;
    }
    this.#stagedRanks.length = 0;
    return potential;
  }

  #commit(): void {
    for (const rank of this.#stagedRanks) {
      this.#times[rank] = this.timeOf(rank) + (this.#deltas[rank] as number);
      this.#deltas[rank] = 0;
    }
    this.#stagedRanks.length = 0;
  }

  #stageHolders(
    expert: number,
    holders: readonly number[],
    sign: 1 | -1,
  ): void {
    const share = this.#shareOf(expert, holders.length);
    for (const rank of holders) this.#stage(rank, sign * share);
  }

  /** Adds tokens, as a share of an even distribution, to the pending change of a rank. */
  #stage(rank: number, share: number): void {
    this.#stagedRanks.push(rank);
    this.#deltas[rank] = (this.#deltas[rank] as number) +
      share / (this.#load.speeds[rank] as number);
  }

  #shareOf(expert: number, replicas: number): number {
    if (replicas === 0) return 0;
    return (this.#load.tokens[expert] as number) / replicas / this.#mean;
  }

  #sumPowers(): number {
    let sum = 0;
    for (const time of this.#times) sum += power(time);
    return sum;
  }

  #setExpert(place: SlotPlace, expert: number): void {
    (this.#experts[place.rank] as number[])[place.slot] = expert;
  }

  #removeHolder(expert: number, rank: number): void {
    const holders = this.#holdersOf(expert);
    holders.splice(holders.indexOf(rank), 1);
  }

  #holdersOf(expert: number): number[] {
    return this.#holders[expert] as number[];
  }
}

/** The eighth power, so that the slowest ranks dominate the sum. */
function power(time: number): number {
  const second = time * time;
  const fourth = second * second;
  return fourth * fourth;
}
