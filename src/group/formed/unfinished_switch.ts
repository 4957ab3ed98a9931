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

/** Rank 0 holds a pass for a switch that every rank is prepared for. */
export interface HeldForSwitch {
  readonly kind: "held";
  readonly version: number;
  readonly pass: number;
}

/** Rank 0 holds a pass, and no rank can be armed for it. */
export interface HeldInVain {
  readonly kind: "held_in_vain";
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
 * A rank is armed only after every rank was prepared and rank 0 held the pass.
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
  const first = states.find((state) => state.rank === 0);
  const pass = first?.heldPass;
  const armed = states.flatMap((state) => state.armed ?? []);
  if (pass === undefined) {
    const versions = new Set(states.map((state) => state.activeVersion));
    const isSettled = armed.length === 0 && versions.size === 1;
    return { kind: isSettled ? "none" : "changing" };
  }
  const version = armed.find((one) => one.pass === pass)?.version ??
    first?.preparedVersion;
  const isReady = version !== undefined &&
    states.every((state) =>
      state.preparedVersion === version ||
      isArmedFor(state, { version, pass })
    );
  if (isReady) return { kind: "held", version, pass };
  return armed.length > 0
    ? { kind: "changing" }
    : { kind: "held_in_vain", pass };
}
