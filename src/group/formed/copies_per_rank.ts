/**
 * Limits how many experts a rank copies for one map.
 *
 * @module
 */

/** Input of {@link getMaxCopiesPerRank}. */
export interface CopyLimitInput {
  /** Milliseconds in which a rank loads one expert. */
  readonly loadMs: number;
  /** Duration of a pass in milliseconds, if it is known. */
  readonly passMs: number | undefined;
  /** Number of ranks in the group. */
  readonly ranks: number;
}

/**
 * Time limit in milliseconds for planning and loading the copies of one map. Both are
 * sequential: loading at each rank, planning over all ranks. Popularity changes within
 * seconds, so few copies that take effect early help more than many that come too late.
 */
const COPYING_MS_PER_MAP = 160;
/**
 * Milliseconds to plan one copy on a VM with less than half a core. This is the limiting
 * factor in large groups.
 */
const PLANNING_MS_PER_COPY = 1;
/** Maximum number of experts that a rank loads for one map, however long passes take. */
const MAX_NEW_EXPERTS_PER_RANK = 6;
/**
 * Passes that a switch takes in addition to loading. If passes are slow, such as a second
 * each, several copies can be loaded in the same time.
 */
const PASSES_PER_SWITCH = 2;

/**
 * Returns how many experts a rank may copy for one map, which is at least one.
 *
 * @example
 * ```ts
 * getMaxCopiesPerRank({ loadMs: 76, passMs: 60, ranks: 24 }); // 2
 * ```
 */
export function getMaxCopiesPerRank(
  { loadMs, passMs, ranks }: CopyLimitInput,
): number {
  const overheadMs = PASSES_PER_SWITCH * (passMs ?? 0);
  const allowedMs = Math.max(COPYING_MS_PER_MAP, overheadMs);
  const fittingCopies = Math.round(
    allowedMs / (loadMs + ranks * PLANNING_MS_PER_COPY),
  );
  return Math.min(MAX_NEW_EXPERTS_PER_RANK, Math.max(1, fittingCopies));
}
