/**
 * A placement of one layer that is changed one replica at a time. The effect of a change
 * on the load of the ranks is computed without making it.
 *
 * @module
 * @internal
 */
import type { LayerPlacement } from "../../messages/group_types.ts";

/**
 * Exponent of the norm that approximates the load of the most loaded rank. Unlike the
 * maximum, the norm also falls when one of several equally loaded ranks gets less.
 */
const NORM_EXPONENT = 12;

/** A change by which a rank loads an expert. */
export interface ReplicaChange {
  readonly expert: number;
  readonly rank: number;
  /** Expert whose replica at the rank is dropped in exchange, if any. */
  readonly dropped?: number;
  /** Rank that gives up the expert; undefined if a replica is added. */
  readonly movedFrom?: number;
}

/** Options of a {@link PlacementDraft}. */
export interface PlacementDraftOptions {
  readonly placement: LayerPlacement;
  /** Fraction of all tokens that are routed to each expert. */
  readonly tokens: readonly number[];
  /** Time of each rank relative to a rank of usual speed. */
  readonly paces: readonly number[];
  readonly slotsPerRank: number;
}

/** A placement of one layer that is changed one replica at a time. */
export class PlacementDraft {
  readonly #tokens: readonly number[];
  readonly #paces: readonly number[];
  readonly #slotsPerRank: number;
  /** Ranks that hold each expert. */
  readonly #holders: number[][];
  /** Experts that each rank holds. */
  readonly #experts: number[][];
  readonly #loads: Float64Array;
  readonly #added: Float64Array;
  #powers = 0;
  #highestLoad = 0;

  /** Starts with a copy of a placement. */
  constructor(options: PlacementDraftOptions) {
    const { placement, tokens, paces, slotsPerRank } = options;
    this.#tokens = tokens;
    this.#paces = paces;
    this.#slotsPerRank = slotsPerRank;
    this.#experts = placement.experts.map((experts) => [...experts]);
    this.#holders = tokens.map(() => []);
    for (const [rank, experts] of this.#experts.entries()) {
      for (const expert of experts) this.#holders[expert]?.push(rank);
    }
    this.#loads = new Float64Array(this.#experts.length);
    this.#added = new Float64Array(this.#experts.length);
    this.#recomputeLoads();
  }

  /** Number of ranks of the group. */
  get ranks(): number {
    return this.#experts.length;
  }

  /** Load of the most loaded rank: its fraction of all tokens times its pace. */
  get highestLoad(): number {
    return this.#highestLoad;
  }

  /**
   * Approximates {@link highestLoad}, but falls with the load of every highly loaded
   * rank.
   */
  get cost(): number {
    return this.#powers ** (1 / NORM_EXPONENT);
  }

  /** Returns the ranks, most loaded first. */
  ranksByLoad(): readonly number[] {
    return Array.from(this.#loads.keys())
      .sort((left, right) => this.#loadOf(right) - this.#loadOf(left));
  }

  /** Returns the experts that a rank holds. */
  expertsOf(rank: number): readonly number[] {
    return this.#experts[rank] as readonly number[];
  }

  /** Returns the number of ranks that hold an expert. */
  replicasOf(expert: number): number {
    return this.#holdersOf(expert).length;
  }

  /** Returns the tokens of each replica of an expert, as a fraction of all tokens. */
  shareOf(expert: number): number {
    return (this.#tokens[expert] as number) / this.replicasOf(expert);
  }

  /** Whether a rank holds an expert. */
  holds(rank: number, expert: number): boolean {
    return this.#holdersOf(expert).includes(rank);
  }

  /** Whether a rank has a free slot. */
  hasRoom(rank: number): boolean {
    return this.expertsOf(rank).length < this.#slotsPerRank;
  }

  /**
   * Returns the experts of a rank that other ranks also hold, ordered by the load that
   * dropping the replica adds to each other holder.
   */
  droppableAt(rank: number): readonly number[] {
    return this.expertsOf(rank)
      .filter((expert) => this.replicasOf(expert) > 1)
      .sort((left, right) =>
        this.#addedShareOf(left) - this.#addedShareOf(right)
      );
  }

  /** Returns the {@link cost} after a change without making it. */
  costAfter(change: ReplicaChange): number {
    this.#stage(change);
    let powers = this.#powers;
    for (let rank = 0; rank < this.ranks; rank++) {
      const added = this.#added[rank] as number;
      if (added === 0) continue;
      const load = this.#loadOf(rank);
      powers += power(load + added) - power(load);
      this.#added[rank] = 0;
    }
    return Math.max(0, powers) ** (1 / NORM_EXPONENT);
  }

  /** Returns the {@link cost} after dropping a replica without dropping it. */
  costWithout(rank: number, expert: number): number {
    const before = this.shareOf(expert);
    const after = before * this.replicasOf(expert) /
      (this.replicasOf(expert) - 1);
    let powers = this.#powers;
    for (const holder of this.#holdersOf(expert)) {
      const load = this.#loadOf(holder);
      const tokens = holder === rank ? -before : after - before;
      const added = tokens * this.#paceOf(holder);
      powers += power(load + added) - power(load);
    }
    return Math.max(0, powers) ** (1 / NORM_EXPONENT);
  }

  /** Makes a change. */
  make(change: ReplicaChange): void {
    const { expert, rank, dropped, movedFrom } = change;
    if (dropped !== undefined) this.#remove(rank, dropped);
    if (movedFrom !== undefined) this.#remove(movedFrom, expert);
    this.#holdersOf(expert).push(rank);
    (this.#experts[rank] as number[]).push(expert);
    this.#recomputeLoads();
  }

  /** Drops a replica of an expert that other ranks also hold. */
  drop(rank: number, expert: number): void {
    this.#remove(rank, expert);
    this.#recomputeLoads();
  }

  /** Returns the current placement, with the experts of each rank in ascending order. */
  toPlacement(): LayerPlacement {
    const experts = this.#experts.map((held) =>
      [...held].sort((left, right) => left - right)
    );
    return { experts };
  }

  /** Computes what a change adds to the load of each rank. */
  #stage(change: ReplicaChange): void {
    const { expert, rank, dropped, movedFrom } = change;
    const before = this.shareOf(expert);
    if (movedFrom === undefined) {
      const replicas = this.replicasOf(expert);
      const after = before * replicas / (replicas + 1);
      for (const holder of this.#holdersOf(expert)) {
        this.#add(holder, after - before);
      }
      this.#add(rank, after);
    } else {
      this.#add(movedFrom, -before);
      this.#add(rank, before);
    }
    if (dropped === undefined) return;
    const share = this.shareOf(dropped);
    const addedShare = this.#addedShareOf(dropped);
    for (const holder of this.#holdersOf(dropped)) {
      this.#add(holder, holder === rank ? -share : addedShare);
    }
  }

  /**
   * Returns the tokens that each other holder gets in addition when one replica is
   * dropped.
   */
  #addedShareOf(expert: number): number {
    const replicas = this.replicasOf(expert);
    return this.shareOf(expert) / (replicas - 1);
  }

  #add(rank: number, tokens: number): void {
    const load = tokens * this.#paceOf(rank);
    this.#added[rank] = (this.#added[rank] as number) + load;
  }

  #remove(rank: number, expert: number): void {
    const holders = this.#holdersOf(expert);
    holders.splice(holders.indexOf(rank), 1);
    const experts = this.#experts[rank] as number[];
    experts.splice(experts.indexOf(expert), 1);
  }

  #recomputeLoads(): void {
    this.#loads.fill(0);
    for (const [expert, holders] of this.#holders.entries()) {
      const share = (this.#tokens[expert] as number) / holders.length;
      for (const rank of holders) {
        this.#loads[rank] = this.#loadOf(rank) + share * this.#paceOf(rank);
      }
    }
    this.#powers = this.#loads.reduce((sum, load) => sum + power(load), 0);
    this.#highestLoad = this.#loads.reduce((highest, load) =>
      Math.max(highest, load)
    );
  }

  #paceOf(rank: number): number {
    return this.#paces[rank] as number;
  }

  #loadOf(rank: number): number {
    return this.#loads[rank] as number;
  }

  #holdersOf(expert: number): number[] {
    return this.#holders[expert] as number[];
  }
}

/**
 * Raises a load to the power of {@link NORM_EXPONENT}, in a fifth of the time of `**`.
 */
function power(load: number): number {
  const second = load * load;
  const fourth = second * second;
  return fourth * fourth * fourth;
}
