/**
 * Assembles a group's map from the experts that each rank reports.
 *
 * @module
 */
import type { ExpertMap } from "../../messages/group_types.ts";
import type { RankExperts } from "../../messages/formed_group_types.ts";

/**
 * Returns the map of a group, given the experts of all its ranks.
 *
 * @example
 * ```ts
 * const map = assembleMap(new Map([[0, [[0, 1]]], [1, [[2, 3]]]]));
 * map.layers[0]?.experts; // [[0, 1], [2, 3]]
 * ```
 */
export function assembleMap(
  expertsByRank: ReadonlyMap<number, RankExperts>,
): ExpertMap {
  const ranks = [...expertsByRank.keys()].sort((left, right) => left - right);
  const layers = expertsByRank.get(0)?.length ?? 0;
  return {
    layers: Array.from({ length: layers }, (_, layer) => ({
      experts: ranks.map((rank) => expertsByRank.get(rank)?.[layer] ?? []),
    })),
  };
}
