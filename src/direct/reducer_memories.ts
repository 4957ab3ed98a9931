/**
 * What an entry's reducer remembers, as it is told to other entries and heard from them.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEvent } from "../entry/types.ts";
import { EntryMemories } from "./peers/entry_memories.ts";

/** Memories of a reducer; what other entries tell becomes events of it. */
export function createReducerMemories(
  { crashes, limits, registry }: EntryReducer,
  dispatch: (event: EntryEvent) => void,
): EntryMemories {
  return new EntryMemories({
    crashes,
    limits,
    leaving: registry.leaving,
    onCrashes: (requests) =>
      dispatch({ kind: "crashes_told", now: performance.now(), requests }),
    onLimits: (told) =>
      dispatch({ kind: "limits_told", now: performance.now(), limits: told }),
    onLeaving: (targets) =>
      dispatch({ kind: "leaving_told", now: performance.now(), targets }),
  });
}
