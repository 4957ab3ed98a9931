/**
 * A map that a rank can prepare without a copy. Preparing it under a new version
 * replaces what was prepared before, which can then no longer be armed.
 *
 * @module
 */
import type { ExpertMap } from "../../messages/group_types.ts";
import type { RankExperts } from "../../messages/formed_group_types.ts";

/** What a rank knows of its group's maps without asking others. */
export interface FenceMapInput {
  /** The rank that prepares the map. */
  readonly rank: number;
  readonly ranks: number;
  /** Experts that this rank has in use, by layer. */
  readonly own: RankExperts;
  /** Experts of each layer. */
  readonly experts: number;
}

/**
 * A map with this rank's experts as they are, and all others dealt to the other ranks
 * in turn. It is never armed, so what it says of the others does not matter as long as
 * an engine takes it: each expert is somewhere, and no rank has more than it holds.
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
