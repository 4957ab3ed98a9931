/**
 * What a decider has gathered of the ranks, and whether that is whole.
 *
 * @module
 */
import type { ExpertMap } from "../../messages/group_types.ts";
import { assembleMap } from "./assemble_map.ts";
import type { Gathering, RankReported } from "./decider_types.ts";

/** Takes in what one rank holds. */
export function recordGathered(
  { states, experts }: Gathering,
  { rank, report }: RankReported,
): void {
  const before = states.get(rank);
  const hasSwitched = before !== undefined &&
    before.activeVersion !== report.state.activeVersion;
  if (hasSwitched) experts.delete(rank);
  states.set(rank, report.state);
  if (report.experts !== undefined) experts.set(rank, report.experts);
}

/**
 * The map that all ranks have in force. Undefined while some are unknown or have yet to
 * switch; the latter are forgotten, so that they are asked again.
 *
 * @example
 * ```ts
 * noteGathered(phase, event);
 * const map = trySettle(phase, ranks);
 * ```
 */
export function tryGetSettledMap(
  phase: Gathering,
  ranks: number,
): ExpertMap | undefined {
  const isWhole = phase.states.size === ranks && phase.experts.size === ranks;
  if (!isWhole) return undefined;
  const states = [...phase.states.values()];
  const versions = new Set(states.map((state) => state.activeVersion));
  const isSettled = versions.size === 1 &&
    states.every((state) => state.armed === undefined);
  if (isSettled) return assembleMap(phase.experts);
  removeOutdated(phase);
  return undefined;
}

/**
 * The ranks were seen at different times: those that had yet to switch are asked again.
 * With all of them asked again at once, a large group was never whole.
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
