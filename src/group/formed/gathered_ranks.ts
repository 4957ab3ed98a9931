/**
 * Collects the states and experts of all ranks and determines the map in force.
 *
 * @module
 */
import type { ExpertMap } from "../../messages/group_types.ts";
import { assembleMap } from "./assemble_map.ts";
import type { Gathering, RankReported } from "./decider_types.ts";

/** Records the state and the experts that one rank reported. */
export function recordRankReport(
  { states, experts }: Gathering,
  { rank, report }: RankReported,
): void {
  const previous = states.get(rank);
  const hasSwitched = previous !== undefined &&
    previous.activeVersion !== report.state.activeVersion;
  if (hasSwitched) experts.delete(rank);
  states.set(rank, report.state);
  if (report.experts !== undefined) experts.set(rank, report.experts);
}

/**
 * Returns the map that all ranks use. Returns undefined while some ranks are unknown or
 * have not switched yet; the latter are removed, so that they are queried again.
 *
 * @example
 * ```ts
 * recordRankReport(phase, event);
 * const map = tryGetSettledMap(phase, ranks);
 * ```
 */
export function tryGetSettledMap(
  phase: Gathering,
  ranks: number,
): ExpertMap | undefined {
  const isComplete = phase.states.size === ranks &&
    phase.experts.size === ranks;
  if (!isComplete) return undefined;
  const states = [...phase.states.values()];
  const versions = new Set(states.map((state) => state.activeVersion));
  const isSettled = versions.size === 1 &&
    states.every((state) => state.armed === undefined);
  if (isSettled) return assembleMap(phase.experts);
  removeOutdated(phase);
  return undefined;
}

/**
 * Removes the ranks that had not switched yet when they were queried. Ranks report at
 * different times; if all of them were queried again, the state of a large group would
 * never be complete.
 */
function removeOutdated({ states, experts }: Gathering): void {
  const newest = Math.max(
    ...[...states.values()].map(({ activeVersion }) => activeVersion),
  );
  for (const [rank, { activeVersion, armed }] of states) {
    if (activeVersion === newest && armed === undefined) continue;
    states.delete(rank);
    experts.delete(rank);
  }
}
