/**
 * The vocabulary of placing experts on ranks.
 *
 * @module
 */
import type { LayerPlacement } from "../../messages/group_types.ts";

/** What is known of one layer when its placement is planned. */
export interface LayerLoad {
  /** Tokens a step for each expert. */
  readonly tokens: readonly number[];
  /** Speed of each rank; 1 is usual. */
  readonly speeds: readonly number[];
}

/** A placement, and what it costs to get there. */
export interface PlannedLayer {
  readonly placement: LayerPlacement;
  /** Experts that ranks must load that they did not have. */
  readonly moves: number;
}

/** A way to place the experts of a layer. */
export abstract class PlacementPlanner {
  /** The placement for the next interval, given the present one. */
  abstract plan(current: LayerPlacement, load: LayerLoad): PlannedLayer;
}

/** Leaves every expert where it is. */
export class FixedPlanner extends PlacementPlanner {
  override plan(current: LayerPlacement): PlannedLayer {
    return { placement: current, moves: 0 };
  }
}
