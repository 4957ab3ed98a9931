/**
 * Creates a map that a rank can prepare without copying experts. Preparing it under a new
 * version replaces the previously prepared map, which can then no longer be armed.
 *
 * @module
 */
import type { ExpertMap } from "../../messages/group_types.ts";
import type { RankExperts } from "../../messages/formed_group_types.ts";

/** What a rank knows of its group's map without querying other ranks. */
export interface FenceMapInput {
  /** Rank that prepares the map. */
  readonly rank: number;
  readonly ranks: number;
  /** Experts that this rank currently uses, by layer. */
  readonly own: RankExperts;
  /** Number of experts in each layer. */
  readonly experts: number;
}

/**
 * Returns a map that leaves this rank's experts unchanged and distributes all others over
 * the other ranks round-robin. The map is never armed, so the placement at other ranks
 * only has to be valid for an engine: each expert is placed, and no rank has more experts
 * than slots.
 *
 * @example
 * ```ts
 * const map = createFenceMap({ rank: 1, ranks: 3, own: [[0]], experts: 3 });
 * map.layers[0]?.experts; // [[1], [0], [2]]
 * ```
 */
export function createFenceMap(input: FenceMapInput): ExpertMap {
  const { rank, ranks, own, experts } = input;
  return {
    layers: own.map((held) => {
      const rows = Array.from({ length: ranks }, (): number[] => []);
      rows[rank] = [...held];
      const others = rows.filter((_, other) => other !== rank);
      const missing = Array.from({ length: experts }, (_, expert) => expert)
        .filter((expert) => !held.includes(expert));
      for (const [index, expert] of missing.entries()) {
        others[index % others.length]?.push(expert);
      }
      return { experts: rows };
    }),
  };
}
