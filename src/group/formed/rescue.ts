/**
 * Finishes a switch whose decider stands still while it holds a pass, from the
 * states of all engines alone. Several may do so at once, and the decider may go
 * on at any moment: each order is one that it would give itself.
 *
 * @module
 */
import { isArmedFor, type RankOrder, type RankState } from "./types.ts";
import { tryFindUnfinished } from "./unfinished_switch.ts";

/** An order for the engine of one rank. */
export interface RescueOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

/**
 * What is to be ordered next; nothing when no pass is held. The states are read
 * anew before the next orders are planned.
 *
 * @example
 * ```ts
 * for (const { rank, order } of planRescue(states)) engines[rank].give(order);
 * ```
 */
export function planRescue(
  states: readonly RankState[],
): readonly RescueOrder[] {
  const epochs = new Set(states.map((state) => state.epoch));
  const [epoch] = epochs;
  if (epoch === undefined || epochs.size > 1) return [];
  const unfinished = tryFindUnfinished(states);
  switch (unfinished.kind) {
    case "none":
    case "changing":
      return [];
    case "held_in_vain":
      return [{ rank: 0, order: { kind: "go", epoch, pass: unfinished.pass } }];
    case "held": {
      const { version, pass } = unfinished;
      const unarmed = states.filter((state) => !isArmedFor(state, unfinished));
      if (unarmed.length === 0) {
        return [{ rank: 0, order: { kind: "go", epoch, pass } }];
      }
      return unarmed.map(({ rank }) => ({
        rank,
        order: { kind: "arm", epoch, version, pass },
      }));
    }
  }
}

/** Tells from a rank's own states that its group seems to be held. */
export class HoldSuspicion {
  #pass = -1;
  #since = 0;

  /**
   * Milliseconds for which a rank with work and a map to switch to has seen no
   * pass begin.
   */
  observe(state: RankState, now: number): number {
    const hasWork = state.running + state.queued > 0;
    const isSwitching = state.preparedVersion !== undefined ||
      state.armed !== undefined;
    const isSuspicious = state.isOpen && hasWork && isSwitching &&
      state.pass === this.#pass;
    if (!isSuspicious) this.#since = now;
    this.#pass = state.pass;
    return now - this.#since;
  }
}
