/**
 * Creates the state of an entry's reducer that is replicated to other entries.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEvent } from "../entry/types.ts";
import { ReplicatedState } from "./peers/replicated_state.ts";

/**
 * Creates the replicated state of a reducer. Updates from other entries are dispatched to
 * it as events.
 */
export function createReplicatedState(
  { crashes, limits, registry }: EntryReducer,
  dispatch: (event: EntryEvent) => void,
): ReplicatedState {
  return new ReplicatedState({
    crashes,
    limits,
    leaving: registry.leaving,
    onCrashes: (requests) =>
      dispatch({ kind: "crashes_told", now: performance.now(), requests }),
    onLimits: (targetLimits) =>
      dispatch({
        kind: "limits_told",
        now: performance.now(),
        limits: targetLimits,
      }),
    onLeaving: (targets) =>
      dispatch({ kind: "leaving_told", now: performance.now(), targets }),
  });
}
