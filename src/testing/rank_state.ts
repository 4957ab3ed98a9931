/**
 * Creates states of ranks for tests.
 *
 * @module
 */
import type { RankState } from "../messages/formed_group_types.ts";

/** Creates the state of a rank in an open group of four, without a switch in progress. */
export function createRankState(changes: Partial<RankState> = {}): RankState {
  return {
    group: "group",
    epoch: 1,
    rank: 0,
    ranks: 4,
    isOpen: true,
    pass: 8,
    activeVersion: 4,
    running: 1,
    queued: 0,
    pace: 1,
    ...changes,
  };
}
