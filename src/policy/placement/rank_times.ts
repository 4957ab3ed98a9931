/**
 * Computes how long each rank of a group takes for one layer of a step.
 *
 * @module
 */
import type { LayerPlacement } from "../../messages/group_types.ts";
import type { LayerLoad } from "./types.ts";

/**
 * Returns the time of each rank for a layer, in token times of a rank of usual speed.
 * Tokens of an expert are split evenly over its replicas.
 *
 * @example
 * ```ts
 * const slowest = Math.max(...getRankTimes(placement, load));
 * ```
 */
export function getRankTimes(
  placement: LayerPlacement,
  load: LayerLoad,
): readonly number[] {
  const replicas = countReplicas(placement, load.tokens.length);
  return placement.experts.map((experts, rank) => {
    let tokens = 0;
    for (const expert of experts) {
      tokens += (load.tokens[expert] ?? 0) / (replicas[expert] ?? 1);
    }
    return tokens / (load.speeds[rank] ?? 1);
  });
}

/** Returns the number of replicas of each expert. */
export function countReplicas(
  placement: LayerPlacement,
  experts: number,
): number[] {
  const replicas = new Array<number>(experts).fill(0);
  for (const expert of placement.experts.flat()) {
    replicas[expert] = (replicas[expert] ?? 0) + 1;
  }
  return replicas;
}

/** Counts the experts that ranks hold in `after` but not in `before`. */
export function countMoves(
  before: LayerPlacement,
  after: LayerPlacement,
): number {
  let moves = 0;
  for (const [rank, experts] of after.experts.entries()) {
    const heldBefore = new Set(before.experts[rank]);
    for (const expert of new Set(experts)) if (!heldBefore.has(expert)) moves++;
  }
  return moves;
}

/**
 * Returns a lower bound of the slowest rank's time for any placement with these slots:
 * the work is spread over all ranks, and the hottest experts are split as far as the
 * slots allow.
 *
 * @example
 * ```ts
 * const ratio = slowest / getSlowestTimeBound(load, slots);
 * ```
 */
export function getSlowestTimeBound(load: LayerLoad, slots: number): number {
  const tokens = load.tokens.reduce((sum, count) => sum + count, 0);
  const speed = load.speeds.reduce((sum, value) => sum + value, 0);
  const spread = tokens / speed;
  const fastest = Math.max(...load.speeds);
  let low = spread;
  let high = Math.max(spread, ...load.tokens.map((count) => count / fastest));
  for (let round = 0; round < 40; round++) {
    const middle = (low + high) / 2;
    const needed = load.tokens.reduce(
      (sum, count) => sum + Math.max(1, Math.ceil(count / (middle * fastest))),
      0,
    );
    if (needed <= slots) high = middle;
    else low = middle;
  }
  return high;
}
