/**
 * What a rank's report means in a phase of the decider: orders that were not carried
 * out, and passes that are held for nothing.
 *
 * @module
 */
import { assertNever } from "../../core/debug.ts";
import type { ExpertMap } from "../../messages/group_types.ts";
import type { DeciderPhase } from "./decider_types.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

/** The map is given up, and the one before stays in force. */
export interface AbandonMap {
  readonly kind: "give_up_map";
  readonly before: ExpertMap;
}

/** The switch moves to a later pass. */
export interface HoldLater {
  readonly kind: "hold_later";
  readonly version: number;
  readonly map: ExpertMap | undefined;
}

/** Nothing more than its kind is to be known. */
export interface PlainRejection {
  readonly kind:
    /** All ranks are asked what they hold. */
    | "start_over"
    /** The order is sent again, but not at once. */
    | "postpone"
    /** The engine is to be fenced by a higher version. */
    | "fence_higher"
    /** The next tick gives the order again where it is needed. */
    | "ignore";
}

/** What follows from an order that a rank did not carry out. */
export type Rejection = AbandonMap | HoldLater | PlainRejection;

/**
 * Judges a report that an order was not carried out.
 *
 * @example
 * ```ts
 * if (judgeRejection(phase, state).kind === "start_over") gather();
 * ```
 */
export function classifyRejection(
  phase: DeciderPhase,
  state: RankState,
): Rejection {
  switch (phase.kind) {
    case "preparing":
      // Nothing is armed, so what some ranks loaded does no harm.
      return { kind: "give_up_map", before: phase.before };
    case "holding":
      if (isFenced(state, phase.version)) return { kind: "start_over" };
      // The order was lost, and is given again by the next tick.
      if (state.pass < phase.pass) return { kind: "ignore" };
      // The pass had begun: the switch moves further ahead.
      return { kind: "hold_later", version: phase.version, map: phase.map };
    case "deciding": {
      const isOver = isFenced(state, phase.version) ||
        state.pass >= phase.pass;
      return { kind: isOver ? "start_over" : "postpone" };
    }
    case "arming":
    case "releasing":
      // All ranks were armed for a pass that began: another process saw to it.
      if (state.pass >= phase.pass) return { kind: "start_over" };
      // Other ranks are armed: it is asked for again until it is done.
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
 * Whether a rank holds a pass that nobody waits to switch at: a hold that took effect
 * after it was given up stops the group for nothing.
 *
 * @example
 * ```ts
 * if (hasStrayHold(phase, state)) gather();
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

/** The map that the rank had prepared was replaced: it cannot be armed any more. */
function isFenced(state: RankState, version: number): boolean {
  return state.armed === undefined && state.preparedVersion !== version;
}
