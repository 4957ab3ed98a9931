/**
 * What an entry's reducer shows on the page of metrics.
 *
 * @module
 */
import type { EntryReducer } from "../entry/entry_reducer.ts";
import type { MetricsSource } from "../process/metrics.ts";

/** What a reducer shows of targets; `now` is in milliseconds. */
export function readReducerGauges(
  { warmUp, notices, registry, gate }: EntryReducer,
  now: number,
): Partial<MetricsSource> {
  return {
    coldTargets: warmUp.limits.coldCount,
    coldRequests: warmUp.sentByPool,
    backingOffTargets: notices.backoffs.size,
    backoffs: notices.backoffs.count,
    unreadableNotices: notices.unreadable,
    leavingTargets: registry.leaving.listedCount,
    utilizations: gate.utilizationsAt(now),
  };
}
