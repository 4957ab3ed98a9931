/**
 * Packs all experts from scratch, heaviest first. It provides the first placement of a
 * group, and the baseline of planners that take moves into account.
 *
 * @module
 */
import type { LayerPlacement } from "../../messages/group_types.ts";
import { countMoves } from "./rank_times.ts";
import {
  type LayerLoad,
  PlacementPlanner,
  type PlannedLayer,
} from "./types.ts";

interface Replica {
  readonly expert: number;
  readonly tokens: number;
}

/** Packs all experts from scratch, regardless of the number of moves. */
export class GreedyPacker extends PlacementPlanner {
  override plan(current: LayerPlacement, load: LayerLoad): PlannedLayer {
    const slots = current.experts.map((experts) => experts.length);
    const placement = packGreedily(load, slots);
    return { placement, moves: countMoves(current, placement) };
  }
}

/**
 * Places the replicas, heaviest first, each on the rank that then has the lowest time.
 *
 * @example
 * ```ts
 * const placement = packGreedily(load, [5, 5, 5, 5]);
 * ```
 */
export function packGreedily(
  load: LayerLoad,
  slots: readonly number[],
): LayerPlacement {
  const total = slots.reduce((sum, count) => sum + count, 0);
  const replicas = createReplicas(load.tokens, total);
  const experts = slots.map((): number[] => []);
  const tokens = slots.map(() => 0);
  for (const replica of replicas) {
    const rank = chooseRank(replica, { experts, tokens, slots, load });
    experts[rank]?.push(replica.expert);
    tokens[rank] = (tokens[rank] ?? 0) + replica.tokens;
  }
  return { experts };
}

/**
 * Assigns one replica to each expert, and each remaining one to the expert with the
 * highest load per replica.
 */
function createReplicas(
  tokens: readonly number[],
  total: number,
): readonly Replica[] {
  const counts = tokens.map(() => 1);
  for (let remaining = total - tokens.length; remaining > 0; remaining--) {
    let hottest = 0;
    for (let expert = 1; expert < tokens.length; expert++) {
      if (
        getReplicaTokens(tokens, counts, expert) >
          getReplicaTokens(tokens, counts, hottest)
      ) {
        hottest = expert;
      }
    }
    counts[hottest] = (counts[hottest] ?? 0) + 1;
  }
  return counts
    .flatMap((count, expert) =>
      Array.from({ length: count }, (): Replica => ({
        expert,
        tokens: getReplicaTokens(tokens, counts, expert),
      }))
    )
    .sort((left, right) => right.tokens - left.tokens);
}

function getReplicaTokens(
  tokens: readonly number[],
  counts: readonly number[],
  expert: number,
): number {
  return (tokens[expert] ?? 0) / (counts[expert] ?? 1);
}

interface Packing {
  readonly experts: readonly (readonly number[])[];
  readonly tokens: readonly number[];
  readonly slots: readonly number[];
  readonly load: LayerLoad;
}

function chooseRank(replica: Replica, packing: Packing): number {
  let best = -1;
  let bestTime = Number.POSITIVE_INFINITY;
  for (const [rank, slots] of packing.slots.entries()) {
    const held = packing.experts[rank] ?? [];
    if (held.length >= slots) continue;
    const tokens = (packing.tokens[rank] ?? 0) + replica.tokens;
    // A second replica on the same rank has no benefit.
    const isDuplicate = held.includes(replica.expert);
    const time = isDuplicate ? Number.MAX_VALUE : tokens /
      (packing.load.speeds[rank] ?? 1);
    if (time >= bestTime && best >= 0) continue;
    best = rank;
    bestTime = time;
  }
  return best;
}
