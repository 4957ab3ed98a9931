/**
 * Reads from the states of all ranks whether a switch was begun that nobody has
 * finished.
 *
 * @module
 */
import { isArmedFor, type RankState } from "./types.ts";

/** All ranks use one map, and nothing is under way. */
export interface NothingUnfinished {
  readonly kind: "none";
}

/** The ranks are between two states and are to be asked again. */
export interface StillChanging {
  readonly kind: "changing";
}

/** A rank holds a pass for a switch that every rank is prepared for. */
export interface HeldForSwitch {
  readonly kind: "held";
  readonly holder: number;
  readonly version: number;
  readonly pass: number;
}

/** A rank holds a pass, and no rank can be armed for it. */
export interface HeldInVain {
  readonly kind: "held_in_vain";
  readonly holder: number;
  readonly pass: number;
}

/** What the states show. */
export type UnfinishedSwitch =
  | NothingUnfinished
  | StillChanging
  | HeldForSwitch
  | HeldInVain;

/**
 * Reads the states of all ranks of one epoch.
 *
 * A rank is armed only after every rank was prepared and the pass was held.
 * So a held pass without a version that all ranks have belongs to a late hold.
 *
 * @example
 * ```ts
 * if (tryFindUnfinished(states).kind === "none") settle();
 * ```
 */
export function tryFindUnfinished(
  states: readonly RankState[],
): UnfinishedSwitch {
  const holding = states.find((state) => state.heldPass !== undefined);
  const armed = states.flatMap((state) => state.armed ?? []);
  if (holding?.heldPass === undefined) {
    const versions = new Set(states.map((state) => state.activeVersion));
    const isSettled = armed.length === 0 && versions.size === 1;
    return { kind: isSettled ? "none" : "changing" };
  }
  const { heldPass: pass, rank: holder } = holding;
  const version = armed.find((one) => one.pass === pass)?.version ??
    holding.preparedVersion;
  const isReady = version !== undefined &&
    states.every((state) =>
      state.preparedVersion === version ||
      isArmedFor(state, { version, pass })
    );
  if (isReady) return { kind: "held", holder, version, pass };
  return armed.length > 0
    ? { kind: "changing" }
    : { kind: "held_in_vain", holder, pass };
}
