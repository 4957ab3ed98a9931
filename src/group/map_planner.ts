/**
 * Plans expert maps for the decider at rank 0 from the load that the ranks report.
 *
 * @module
 */
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
import { packGreedily } from "../policy/placement/greedy_packer.ts";
import { LoadEstimator } from "../policy/placement/load_estimator.ts";
import type { PlacementPlanner } from "../policy/placement/types.ts";
import type {
  ExpertMap,
  LayerPlacement,
  RankLoad,
} from "../messages/group_types.ts";

/** Dimensions of a group. */
export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  readonly slotsPerRank: number;
}

/** Creates the initial map of a group whose load is unknown. */
export function createFirstMap(shape: GroupShape): ExpertMap {
  const slots = new Array<number>(shape.ranks).fill(shape.slotsPerRank);
  const load = {
    tokens: new Array<number>(shape.experts).fill(1),
    speeds: new Array<number>(shape.ranks).fill(1),
  };
  const layer = packGreedily(load, slots);
  return { layers: Array.from({ length: shape.layers }, () => layer) };
}

/** A proposed map and the number of experts that move for it. */
export interface MapProposal {
  readonly map: ExpertMap;
  readonly moves: number;
}

/** Plans expert maps. */
export class MapPlanner {
  readonly #shape: GroupShape;
  readonly #estimators: readonly LoadEstimator[];

  /** Starts without any observed load. */
  constructor(shape: GroupShape) {
    this.#shape = shape;
    this.#estimators = Array.from(
      { length: shape.layers },
      () => new LoadEstimator(shape.experts, shape.ranks),
    );
  }

  /**
   * Records the loads of one interval. Token counts are used only if every rank reported,
   * because the sum over an expert's replicas would otherwise be too low. Slowdowns are
   * used for each rank that reported.
   */
  observe(loads: readonly (RankLoad | undefined)[]): void {
    const slowdowns = loads.map((load) => load?.slowdown);
    const isComplete = loads.every((load) => load !== undefined);
    for (const [layer, estimator] of this.#estimators.entries()) {
      const tokens = Array.from(
        { length: this.#shape.experts },
        (_, expert) => isComplete ? sumTokens(loads, layer, expert) : undefined,
      );
      estimator.observe({ tokens, slowdowns });
    }
  }

  /**
   * Returns a better map than the current one; undefined if no change is worthwhile.
   * Yields to the event loop after each layer, so that planning does not block the
   * process.
   */
  async tryPlan(
    current: ExpertMap,
    planner: PlacementPlanner,
  ): Promise<MapProposal | undefined> {
    let moves = 0;
    const layers: LayerPlacement[] = [];
    for (const [layer, placement] of current.layers.entries()) {
      const estimator = this.#estimators[layer] as LoadEstimator;
      const planned = planner.plan(placement, estimator.load);
      moves += planned.moves;
      layers.push(planned.placement);
      await yieldToEventLoop();
    }
    return moves === 0 ? undefined : { map: { layers }, moves };
  }
}

function sumTokens(
  loads: readonly (RankLoad | undefined)[],
  layer: number,
  expert: number,
): number {
  return loads.reduce(
    (sum, load) => sum + (load?.tokens[layer]?.[expert] ?? 0),
    0,
  );
}
