/**
 * Proposes expert maps to rank 0 from what the ranks count.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import { packGreedily } from "../policy/placement/greedy_packer.ts";
import { LoadEstimator } from "../policy/placement/load_estimator.ts";
import type { PlacementPlanner } from "../policy/placement/types.ts";
import type {
  ExpertMap,
  LayerPlacement,
  RankLoad,
} from "../messages/group_types.ts";

/** Size of a group. */
export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  readonly slotsPerRank: number;
}

/** The map of a group of which nothing is known. */
export function createFirstMap(shape: GroupShape): ExpertMap {
  const slots = new Array<number>(shape.ranks).fill(shape.slotsPerRank);
  const load = {
    tokens: new Array<number>(shape.experts).fill(1),
    speeds: new Array<number>(shape.ranks).fill(1),
  };
  const layer = packGreedily(load, slots);
  return { layers: Array.from({ length: shape.layers }, () => layer) };
}

/** A proposed map, and what it costs to get there. */
export interface MapProposal {
  readonly map: ExpertMap;
  readonly moves: number;
}

/** Proposes expert maps. */
export class MapPlanner {
  readonly #shape: GroupShape;
  readonly #estimators: readonly LoadEstimator[];

  /** Begins without counts. */
  constructor(shape: GroupShape) {
    this.#shape = shape;
    this.#estimators = Array.from(
      { length: shape.layers },
      () => new LoadEstimator(shape.experts, shape.ranks),
    );
  }

  /**
   * Takes in what the ranks counted in an interval. Without every rank the sum
   * over replicas would be short, so the counts of such an interval are left
   * out; speeds are taken as far as they are known.
   */
  observe(loads: readonly (RankLoad | undefined)[]): void {
    const slowdowns = loads.map((load) => load?.slowdown);
    const isWhole = loads.every((load) => load !== undefined);
    for (const [layer, estimator] of this.#estimators.entries()) {
      const tokens = Array.from(
        { length: this.#shape.experts },
        (_, expert) => isWhole ? sumTokens(loads, layer, expert) : undefined,
      );
      estimator.observe({ tokens, slowdowns });
    }
  }

  /**
   * A better map than the present one; undefined when none is worth it. Other
   * work of the process gets its turn between two layers.
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
      await nextTurn();
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
