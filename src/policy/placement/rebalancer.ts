/**
 * Moves few experts, and only when the time that it saves is worth the moves.
 *
 * @module
 */
import type { LayerPlacement } from "../../group/types.ts";
import { LayerState, type SlotChange } from "./layer_state.ts";
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

/** Presets of the two users; docs/DESIGN.md shows the sweeps. */
export const REBALANCE_PRESETS = {
  skew: { pricePerMove: 0.002, smallestGain: 0.01, longestPlan: 24 },
  cost: { pricePerMove: 0.008, smallestGain: 0.04, longestPlan: 24 },
} as const satisfies Readonly<Record<string, RebalanceWeights>>;

interface Candidate {
  readonly changes: readonly SlotChange[];
  readonly potential: number;
}

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
    for (let length = 0; length < longestPlan; length++) {
      const next = tryBestChange(state);
      if (next === undefined) break;
      state.apply(next.changes);
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

/** The change that lowers the potential most; undefined if none does. */
function tryBestChange(state: LayerState): Candidate | undefined {
  const slowest = state.slowestRank();
  let best: Candidate | undefined;
  let lowest = state.potential * (1 - Number.EPSILON);
  for (const changes of candidateChanges(state, slowest)) {
    const undo = state.apply(changes);
    const { potential } = state;
    state.apply(undo);
    // A swap moves two experts, so it must be worth twice as much.
    if (potential >= lowest) continue;
    lowest = potential;
    best = { changes, potential };
  }
  return best;
}

function* candidateChanges(
  state: LayerState,
  slowest: number,
): IterableIterator<readonly SlotChange[]> {
  for (const [slot, expert] of state.expertsOf(slowest).entries()) {
    for (let rank = 0; rank < state.ranks; rank++) {
      if (rank === slowest) continue;
      const place: SlotChange = { rank: slowest, slot, expert };
      yield* changesWithRank(state, place, rank);
    }
  }
}

/** Swaps with a rank, and replicas there in place of others. */
function* changesWithRank(
  state: LayerState,
  hot: SlotChange,
  rank: number,
): IterableIterator<readonly SlotChange[]> {
  const isHeldThere = state.holds(rank, hot.expert);
  for (const [slot, other] of state.expertsOf(rank).entries()) {
    if (other === hot.expert) continue;
    const toOther: SlotChange = { rank, slot, expert: hot.expert };
    const toHot: SlotChange = { ...hot, expert: other };
    const isHeldHere = state.holds(hot.rank, other);
    if (!isHeldThere && state.isReplicated(other)) yield [toOther];
    if (!isHeldHere && state.isReplicated(hot.expert)) yield [toHot];
    if (!isHeldThere && !isHeldHere) yield [toOther, toHot];
  }
}
