/**
 * Reads the gauges that an entry's reducer provides for the metrics page.
 *
 * @module
 */
import type { EntryReducer } from "../entry/entry_reducer.ts";
import type { MetricsSource } from "../process/metrics.ts";

/** Reads the gauges of a reducer; `now` is in milliseconds. */
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
