/**
 * States of ranks for tests.
 *
 * @module
 */
import type { RankState } from "../messages/formed_group_types.ts";

/** A rank of an open group of four with nothing under way, but for what is named. */
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
