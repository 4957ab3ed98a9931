/**
 * How many experts a rank may copy for one map.
 *
 * @module
 */

/**
 * Milliseconds for which a rank loads experts for one map, at least one. Copies at one
 * rank go one after the other and those of different ranks side by side, and popularity
 * changes within seconds: few at each rank that are soon in force beat many that come too
 * late. With copies of 76 ms and counts of 24 ranks played again, the most loaded rank
 * had 2.2 times the mean with 160 ms, 2.4 with 400.
 */
const LOADING_MS_PER_MAP = 160;
/** Experts that a rank loads for one map when passes take long, at most. */
const MOST_NEW_EXPERTS_PER_RANK = 6;
/**
 * Passes that a switch takes beside the loading. While one rank slows them all to
 * a second each, several copies fit into that time.
 */
const PASSES_PER_SWITCH = 2;

/**
 * Experts that a rank may copy for one map, when one takes so many milliseconds and a
 * pass so many, if that is known.
 *
 * @example
 * ```ts
 * getCopiesPerRank(76, 60); // 2
 * ```
 */
export function getCopiesPerRank(
  loadMs: number,
  passMs: number | undefined,
): number {
  const overheadMs = PASSES_PER_SWITCH * (passMs ?? 0);
  const loadingMs = Math.max(LOADING_MS_PER_MAP, overheadMs);
  const fitting = Math.floor(loadingMs / loadMs);
  return Math.min(MOST_NEW_EXPERTS_PER_RANK, Math.max(1, fitting));
}
