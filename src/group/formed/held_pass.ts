/**
 * Determines the progress of the switch of a held pass from the state of the holder.
 *
 * @module
 */
import type { RankState } from "../../messages/formed_group_types.ts";

/** The holder holds no pass. */
export interface NothingHeld {
  readonly kind: "nothing_held";
}

/** The holder is armed for the pass that it holds: every rank has to switch. */
export interface DecidedHold {
  readonly kind: "decided";
  readonly version: number;
  readonly pass: number;
}

/** The holder is not armed, so no rank is: the switch can be given up. */
export interface UndecidedHold {
  readonly kind: "undecided";
  readonly pass: number;
  /** Whether the group has reached the pass and waits for it. */
  readonly isAwaited: boolean;
}

/**
 * The holder is armed for a later pass: the order to hold this one was executed late, and
 * no rank will be armed for it.
 */
export interface StaleHold {
  readonly kind: "in_vain";
  readonly pass: number;
}

/** Progress of the switch of a held pass. */
export type HeldPass =
  | NothingHeld
  | DecidedHold
  | UndecidedHold
  | StaleHold;

/**
 * Returns the progress of a held pass, given the state of the holder's engine.
 *
 * The holder is armed before any other rank is ordered to arm, and its engine stays armed
 * until the pass begins. So this engine alone shows any process, including one that has
 * just started, whether there is a switch to complete.
 *
 * @example
 * ```ts
 * if (readHeldPass(state).kind === "decided") armAllOthers();
 * ```
 */
export function readHeldPass(holder: RankState): HeldPass {
  const { heldPass: pass, armed } = holder;
  if (pass === undefined) return { kind: "nothing_held" };
  if (armed?.pass === pass) {
    return { kind: "decided", version: armed.version, pass };
  }
  if (armed !== undefined && armed.pass > pass) {
    return { kind: "in_vain", pass };
  }
  return { kind: "undecided", pass, isAwaited: holder.pass >= pass - 1 };
}
