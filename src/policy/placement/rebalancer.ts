/**
 * Moves few experts, and only if the saved time outweighs the cost of the moves.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { LayerPlacement } from "../../messages/group_types.ts";
import { LayerState, type SlotPlace } from "./layer_state.ts";
import { countMoves } from "./rank_times.ts";
import {
  type LayerLoad,
  PlacementPlanner,
  type PlannedLayer,
} from "./types.ts";

/** Weights of step time against moves. */
export interface RebalanceWeights {
  /**
   * Fraction of the mean step time that one move must save before popularity changes
   * again.
   */
  readonly pricePerMove: number;
  /** Minimum fraction of the mean step time that a plan must save. */
  readonly minGain: number;
  /** Maximum number of changes in one plan. */
  readonly maxChanges: number;
}

/** Presets for groups that suffer from skew, and for groups whose moves are expensive. */
export const REBALANCE_PRESETS = {
  skew: { pricePerMove: 0.003, minGain: 0.02, maxChanges: 24 },
  cost: { pricePerMove: 0.012, minGain: 0.03, maxChanges: 24 },
} as const satisfies Readonly<Record<string, RebalanceWeights>>;

/** Number of ranks, fastest first, that may receive experts of the slowest rank. */
const MAX_RECEIVERS = 8;
/** Minimum relative decrease of the potential by one change. */
const MIN_RELATIVE_DROP = 1e-4;

interface Replacement {
  readonly kind: "replace";
  readonly place: SlotPlace;
  readonly expert: number;
}

interface Swap {
  readonly kind: "swap";
  readonly left: SlotPlace;
  readonly right: SlotPlace;
}

type Change = Replacement | Swap;

/**
 * Lowers the time of the slowest rank one change at a time, and returns the prefix of
 * these changes with the highest benefit after the cost of its moves.
 */
export class Rebalancer extends PlacementPlanner {
  readonly #weights: RebalanceWeights;

  /** Weighs step time against moves. */
  constructor(weights: RebalanceWeights) {
    super();
    this.#weights = weights;
  }

  override plan(current: LayerPlacement, load: LayerLoad): PlannedLayer {
    const { maxChanges, minGain, pricePerMove } = this.#weights;
    const state = new LayerState(current, load);
    const before = state.slowest;
    let best: PlannedLayer = { placement: current, moves: 0 };
    let bestWorth = 0;
    // The time of a perfectly even distribution is 1, the lower bound.
    if (before - 1 < minGain) return best;
    for (let length = 0; length < maxChanges; length++) {
      const change = new ChangeSearch(state).tryBest();
      if (change === undefined) break;
      applyChange(state, change);
      const gain = before - state.slowest;
      if (gain < minGain) continue;
      const placement = state.toPlacement();
      const moves = countMoves(current, placement);
      const worth = gain - moves * pricePerMove;
      if (worth <= bestWorth) continue;
      best = { placement, moves };
      bestWorth = worth;
    }
    return best;
  }
}

function applyChange(state: LayerState, change: Change): void {
  match(change)
    .with(
      { kind: "replace" },
      ({ place, expert }) => state.replace(place, expert),
    )
    .with({ kind: "swap" }, ({ left, right }) => state.swap(left, right))
    .exhaustive();
}

/** Finds the change with the greatest decrease of the potential per move. */
class ChangeSearch {
  readonly #state: LayerState;
  #best: Change | undefined;
  #bestDrop: number;

  constructor(state: LayerState) {
    this.#state = state;
    this.#bestDrop = state.potential * MIN_RELATIVE_DROP;
  }

  tryBest(): Change | undefined {
    const slowest = this.#state.slowestRank();
    const others = this.#fastestRanks(slowest);
    for (const [slot] of this.#state.expertsOf(slowest).entries()) {
      for (const rank of others) this.#search({ rank: slowest, slot }, rank);
    }
    return this.#best;
  }

  #fastestRanks(slowest: number): readonly number[] {
    return Array.from({ length: this.#state.ranks }, (_, rank) => rank)
      .filter((rank) => rank !== slowest)
      .sort((left, right) =>
        this.#state.timeOf(left) - this.#state.timeOf(right)
      )
      .slice(0, MAX_RECEIVERS);
  }

  #search(source: SlotPlace, rank: number): void {
    const state = this.#state;
    const expert = state.expertAt(source);
    const isHeldThere = state.holds(rank, expert);
    for (const [slot, other] of state.expertsOf(rank).entries()) {
      if (other === expert) continue;
      const place: SlotPlace = { rank, slot };
      const isHeldHere = state.holds(source.rank, other);
      if (!isHeldThere && state.isReplicated(other)) {
        this.#considerReplace(place, expert);
      }
      if (!isHeldHere && state.isReplicated(expert)) {
        this.#considerReplace(source, other);
      }
      if (!isHeldThere && !isHeldHere) this.#considerSwap(source, place);
    }
  }

  #considerReplace(place: SlotPlace, expert: number): void {
    const after = this.#state.potentialAfterReplace(place, expert);
    const drop = this.#state.potential - after;
    this.#keepIfBetter({ kind: "replace", place, expert }, drop);
  }

  #considerSwap(left: SlotPlace, right: SlotPlace): void {
    const after = this.#state.potentialAfterSwap(left, right);
    const drop = this.#state.potential - after;
    this.#keepIfBetter({ kind: "swap", left, right }, drop);
  }

  #keepIfBetter(change: Change, drop: number): void {
    const dropPerMove = change.kind === "replace" ? drop : drop / 2;
    if (dropPerMove <= this.#bestDrop) return;
    this.#best = change;
    this.#bestDrop = dropPerMove;
  }
}
