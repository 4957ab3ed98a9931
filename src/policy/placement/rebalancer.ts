/**
 * Moves few experts, and only when the time that it saves is worth the moves.
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

/** What step time is worth against moves. */
export interface RebalanceWeights {
  /**
   * Share of the mean step time that one move must save to be worth it, until
   * popularity has drifted away again.
   */
  readonly pricePerMove: number;
  /** Share of the mean step time that a plan must save in all. */
  readonly smallestGain: number;
  /** Changes that one plan may consist of. */
  readonly longestPlan: number;
}

/** Presets for groups that suffer from skew, and for those that pay for each move. */
export const REBALANCE_PRESETS = {
  skew: { pricePerMove: 0.003, smallestGain: 0.02, longestPlan: 24 },
  cost: { pricePerMove: 0.012, smallestGain: 0.03, longestPlan: 24 },
} as const satisfies Readonly<Record<string, RebalanceWeights>>;

/** Ranks, fastest first, that the slowest rank's experts may go to. */
const RANKS_CONSIDERED = 8;
/** Relative fall of the potential below which a change is not worth a look. */
const SMALLEST_FALL = 1e-4;

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
 * Lowers the slowest rank change by change, and keeps the part of the way that
 * is worth most after its moves are paid for.
 */
export class Rebalancer extends PlacementPlanner {
  readonly #weights: RebalanceWeights;

  /** Weighs step time against moves. */
  constructor(weights: RebalanceWeights) {
    super();
    this.#weights = weights;
  }

  override plan(current: LayerPlacement, load: LayerLoad): PlannedLayer {
    const { longestPlan, smallestGain, pricePerMove } = this.#weights;
    const state = new LayerState(current, load);
    const before = state.slowest;
    let best: PlannedLayer = { placement: current, moves: 0 };
    let bestWorth = 0;
    // Nothing is faster than a perfect spread, whose time is 1.
    if (before - 1 < smallestGain) return best;
    for (let length = 0; length < longestPlan; length++) {
      const change = new ChangeSearch(state).tryBest();
      if (change === undefined) break;
      make(state, change);
      const gain = before - state.slowest;
      if (gain < smallestGain) continue;
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

function make(state: LayerState, change: Change): void {
  match(change)
    .with(
      { kind: "replace" },
      ({ place, expert }) => state.replace(place, expert),
    )
    .with({ kind: "swap" }, ({ left, right }) => state.swap(left, right))
    .exhaustive();
}

/** Finds the change that lowers the potential most for each move. */
class ChangeSearch {
  readonly #state: LayerState;
  #best: Change | undefined;
  #bestFall: number;

  constructor(state: LayerState) {
    this.#state = state;
    this.#bestFall = state.potential * SMALLEST_FALL;
  }

  tryBest(): Change | undefined {
    const slowest = this.#state.slowestRank();
    const others = this.#fastestRanks(slowest);
    for (const [slot] of this.#state.expertsOf(slowest).entries()) {
      for (const rank of others) this.#lookAt({ rank: slowest, slot }, rank);
    }
    return this.#best;
  }

  #fastestRanks(slowest: number): readonly number[] {
    return Array.from({ length: this.#state.ranks }, (_, rank) => rank)
      .filter((rank) => rank !== slowest)
      .sort((left, right) =>
        this.#state.timeOf(left) - this.#state.timeOf(right)
      )
      .slice(0, RANKS_CONSIDERED);
  }

  #lookAt(hot: SlotPlace, rank: number): void {
    const state = this.#state;
    const expert = state.expertAt(hot);
    const isHeldThere = state.holds(rank, expert);
    for (const [slot, other] of state.expertsOf(rank).entries()) {
      if (other === expert) continue;
      const place: SlotPlace = { rank, slot };
      const isHeldHere = state.holds(hot.rank, other);
      if (!isHeldThere && state.isReplicated(other)) {
        this.#considerReplace(place, expert);
      }
      if (!isHeldHere && state.isReplicated(expert)) {
        this.#considerReplace(hot, other);
      }
      if (!isHeldThere && !isHeldHere) this.#considerSwap(hot, place);
    }
  }

  #considerReplace(place: SlotPlace, expert: number): void {
    const after = this.#state.potentialAfterReplace(place, expert);
    const fall = this.#state.potential - after;
    this.#keepIfBetter({ kind: "replace", place, expert }, fall);
  }

  #considerSwap(left: SlotPlace, right: SlotPlace): void {
    const after = this.#state.potentialAfterSwap(left, right);
    const fall = this.#state.potential - after;
    this.#keepIfBetter({ kind: "swap", left, right }, fall);
  }

  #keepIfBetter(change: Change, fall: number): void {
    const fallPerMove = change.kind === "replace" ? fall : fall / 2;
    if (fallPerMove <= this.#bestFall) return;
    this.#best = change;
    this.#bestFall = fallPerMove;
  }
}
