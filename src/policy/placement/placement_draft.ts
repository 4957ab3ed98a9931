/**
 * A placement of one layer that is changed replica by replica. What a change
 * would do to the load of the ranks is told without making it.
 *
 * @module
 * @internal
 */
import type { LayerPlacement } from "../../messages/group_types.ts";

/**
 * Exponent of the norm that stands for the most loaded rank. Unlike the maximum
 * it also falls when one of several most loaded ranks gets less.
 */
const NORM_EXPONENT = 12;

/** A rank loads an expert. */
export interface ReplicaChange {
  readonly expert: number;
  readonly rank: number;
  /** Expert whose replica at the rank is dropped for it, if any. */
  readonly dropped?: number;
  /** Rank that holds the expert no more; undefined: a replica is added. */
  readonly movedFrom?: number;
}

/** What a draft begins with. */
export interface PlacementDraftOptions {
  readonly placement: LayerPlacement;
  /** Part of all tokens that choose each expert. */
  readonly tokens: readonly number[];
  /** Time of each rank over that of a rank of usual speed. */
  readonly paces: readonly number[];
  readonly slotsPerRank: number;
}

/** A placement of one layer that is changed replica by replica. */
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

  /** Begins with a copy of a placement. */
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
    this.#recount();
  }

  /** Ranks of the group. */
  get ranks(): number {
    return this.#experts.length;
  }

  /** Load of the most loaded rank: its part of all tokens, times its pace. */
  get highestLoad(): number {
    return this.#highestLoad;
  }

  /** Close to {@link highestLoad}; falls with every rank near the top. */
  get cost(): number {
    return this.#powers ** (1 / NORM_EXPONENT);
  }

  /** Ranks, most loaded first. */
  ranksByLoad(): readonly number[] {
    return Array.from(this.#loads.keys())
      .sort((left, right) => this.#loadOf(right) - this.#loadOf(left));
  }

  /** Experts that a rank holds. */
  expertsOf(rank: number): readonly number[] {
    return this.#experts[rank] as readonly number[];
  }

  /** How many ranks hold an expert. */
  replicasOf(expert: number): number {
    return this.#holdersOf(expert).length;
  }

  /** Tokens of each replica of an expert, in parts of all tokens. */
  shareOf(expert: number): number {
    return (this.#tokens[expert] as number) / this.replicasOf(expert);
  }

  /** Whether a rank holds an expert. */
  holds(rank: number, expert: number): boolean {
    return this.#holdersOf(expert).includes(rank);
  }

  /** Whether a rank has room for one more expert. */
  hasRoom(rank: number): boolean {
    return this.expertsOf(rank).length < this.#slotsPerRank;
  }

  /**
   * Experts of a rank that other ranks hold too, those first whose tokens are
   * least missed.
   */
  droppableAt(rank: number): readonly number[] {
    return this.expertsOf(rank)
      .filter((expert) => this.replicasOf(expert) > 1)
      .sort((left, right) => this.#burdenOf(left) - this.#burdenOf(right));
  }

  /** {@link cost} after a change that is not made. */
  costAfter(change: ReplicaChange): number {
    this.#consider(change);
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

  /** {@link cost} if a rank held an expert no more. */
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
    this.#recount();
  }

  /** Drops a replica of an expert that other ranks hold too. */
  drop(rank: number, expert: number): void {
    this.#remove(rank, expert);
    this.#recount();
  }

  /** The placement as it is now, the experts of each rank in ascending order. */
  toPlacement(): LayerPlacement {
    const experts = this.#experts.map((held) =>
      [...held].sort((left, right) => left - right)
    );
    return { experts };
  }

  /** Notes what a change adds to the load of each rank. */
  #consider(change: ReplicaChange): void {
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
    const burden = this.#burdenOf(dropped);
    for (const holder of this.#holdersOf(dropped)) {
      this.#add(holder, holder === rank ? -share : burden);
    }
  }

  /** What each other holder gets more when one replica is dropped. */
  #burdenOf(expert: number): number {
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

  #recount(): void {
    this.#loads.fill(0);
    for (const [expert, holders] of this.#holders.entries()) {
      const share = (this.#tokens[expert] as number) / holders.length;
      for (const rank of holders) {
        this.#loads[rank] = this.#loadOf(rank) + share * this.#paceOf(rank);
      }
    }
    this.#powers = this.#loads.reduce((sum, load) => sum + power(load), 0);
    this.#highestLoad = this.#loads.reduce((most, load) =>
      Math.max(most, load)
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

/** To the power of {@link NORM_EXPONENT}, in a fifth of the time of `**`. */
function power(load: number): number {
  const second = load * load;
  const fourth = second * second;
  return fourth * fourth * fourth;
}
