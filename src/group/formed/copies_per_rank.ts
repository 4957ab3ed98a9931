/**
 * How many experts a rank may copy for one map.
 *
 * @module
 */

/** What the number of copies depends on. */
export interface CopyLimitInput {
  /** Milliseconds in which a rank loads one expert. */
  readonly loadMs: number;
  /** Milliseconds that a pass takes, if that is known. */
  readonly passMs: number | undefined;
  /** Ranks of the group. */
  readonly ranks: number;
}

/**
 * Milliseconds that copies may take for one map: those at one rank are loaded one after
 * the other, and all are planned one after the other. Popularity changes within seconds:
 * few copies that are soon in force beat many that come too late.
 */
const COPYING_MS_PER_MAP = 160;
/**
 * Milliseconds to plan one copy on a machine with less than half of a core. It binds where
 * groups are large.
 */
const PLANNING_MS_PER_COPY = 1;
/** Experts that a rank loads for one map when passes take long, at most. */
const MAX_NEW_EXPERTS_PER_RANK = 6;
/**
 * Passes that a switch takes beside the loading. While one rank slows them all to
 * a second each, several copies fit into that time.
 */
const PASSES_PER_SWITCH = 2;

/**
 * Experts that a rank may copy for one map, one at least.
 *
 * @example
 * ```ts
 * getCopiesPerRank({ loadMs: 76, passMs: 60, ranks: 24 }); // 2
 * ```
 */
export function getCopiesPerRank(
  { loadMs, passMs, ranks }: CopyLimitInput,
): number {
  const overheadMs = PASSES_PER_SWITCH * (passMs ?? 0);
  const allowedMs = Math.max(COPYING_MS_PER_MAP, overheadMs);
  const fitting = Math.round(
    allowedMs / (loadMs + ranks * PLANNING_MS_PER_COPY),
  );
  return Math.min(MAX_NEW_EXPERTS_PER_RANK, Math.max(1, fitting));
}
