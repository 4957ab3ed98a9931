/**
 * Classifies a rank's report in a phase of the decider: orders that were not executed and
 * holds that no switch needs.
 *
 * @module
 */
import { assertNever } from "../../core/debug.ts";
import type { ExpertMap } from "../../messages/group_types.ts";
import type { DeciderPhase } from "./decider_types.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

/** The map is given up, and the previous one stays in force. */
export interface AbandonMap {
  readonly kind: "give_up_map";
  readonly previousMap: ExpertMap;
}

/** The switch moves to a later pass. */
export interface HoldLater {
  readonly kind: "hold_later";
  readonly version: number;
  readonly map: ExpertMap | undefined;
}

/** A rejection without further details. */
export interface PlainRejection {
  readonly kind:
    /** All ranks are queried again. */
    | "start_over"
    /** The order is sent again later. */
    | "postpone"
    /** The engine has to be fenced with a higher version. */
    | "fence_higher"
    /** The next tick resends the order if it is still open. */
    | "ignore";
}

/** How the decider reacts to an order that a rank did not execute. */
export type Rejection = AbandonMap | HoldLater | PlainRejection;

/**
 * Classifies a report that an order was not executed.
 *
 * @example
 * ```ts
 * if (classifyRejection(phase, state).kind === "start_over") startOver();
 * ```
 */
export function classifyRejection(
  phase: DeciderPhase,
  state: RankState,
): Rejection {
  switch (phase.kind) {
    case "preparing":
      // No rank is armed, so the maps that some ranks loaded do no harm.
      return { kind: "give_up_map", previousMap: phase.previousMap };
    case "holding":
      if (isFenced(state, phase.version)) return { kind: "start_over" };
      // The order was lost; the next tick resends it.
      if (state.pass < phase.pass) return { kind: "ignore" };
      // The pass has begun, so the switch moves to a later one.
      return { kind: "hold_later", version: phase.version, map: phase.map };
    case "deciding": {
      const isOver = isFenced(state, phase.version) ||
        state.pass >= phase.pass;
      return { kind: isOver ? "start_over" : "postpone" };
    }
    case "arming":
    case "releasing":
      // The pass has begun: another process armed all ranks and released it.
      if (state.pass >= phase.pass) return { kind: "start_over" };
      // Other ranks may be armed, so the order is resent until it is executed.
      return { kind: "postpone" };
    case "fencing": {
      const isOver = state.pass >= phase.pass || state.armed !== undefined;
      return { kind: isOver ? "start_over" : "fence_higher" };
    }
    case "gathering":
    case "settled":
    case "switching":
      return { kind: "ignore" };
    default:
      return assertNever(phase);
  }
}

/**
 * Returns whether a rank holds a pass that is not the pass of the current switch. A hold
 * that takes effect after its switch was given up would block the group needlessly.
 *
 * @example
 * ```ts
 * if (hasStrayHold(phase, state)) startOver();
 * ```
 */
export function hasStrayHold(phase: DeciderPhase, state: RankState): boolean {
  if (state.heldPass === undefined) return false;
  switch (phase.kind) {
    case "settled":
    case "preparing":
    case "switching":
      return true;
    case "holding":
      return state.heldPass !== phase.pass;
    case "gathering":
    case "deciding":
    case "arming":
    case "fencing":
    case "releasing":
      return false;
    default:
      return assertNever(phase);
  }
}

/** Returns whether the map that the rank prepared was replaced and cannot be armed. */
function isFenced(state: RankState, version: number): boolean {
  return state.armed === undefined && state.preparedVersion !== version;
}
