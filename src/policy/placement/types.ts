/**
 * Common types of the placement of experts on ranks.
 *
 * @module
 */
import type { LayerPlacement } from "../../messages/group_types.ts";

/** The known load of one layer for which a placement is planned. */
export interface LayerLoad {
  /** Tokens a step for each expert. */
  readonly tokens: readonly number[];
  /** Speed of each rank; 1 is usual. */
  readonly speeds: readonly number[];
}

/** A planned placement and its cost. */
export interface PlannedLayer {
  readonly placement: LayerPlacement;
  /** Number of experts that ranks must load. */
  readonly moves: number;
}

/** A strategy that places the experts of a layer. */
export abstract class PlacementPlanner {
  /** Returns the placement for the next interval, given the current one. */
  abstract plan(current: LayerPlacement, load: LayerLoad): PlannedLayer;
}

/** Keeps every expert where it is. */
export class FixedPlanner extends PlacementPlanner {
  override plan(current: LayerPlacement): PlannedLayer {
    return { placement: current, moves: 0 };
  }
}
