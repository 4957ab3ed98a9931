/**
 * Ends a hold whose decider stands still, from what the other ranks say. Several
 * may do so at once, and the decider may go on at any moment.
 *
 * @module
 */
import type { PromisedPasses } from "./switch_promises.ts";
import {
  isArmedFor,
  type PassOfEpoch,
  type RankOrder,
  type RankState,
} from "./types.ts";
import { tryFindUnfinished } from "./unfinished_switch.ts";

/** What a rank's process said of its engine and of itself. */
export interface RankWord extends PromisedPasses {
  readonly state: RankState;
}

/** An order for the engine of one rank. */
export interface RescueOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

/** Give these orders, then ask again. */
export interface GiveOrders {
  readonly kind: "orders";
  readonly orders: readonly RescueOrder[];
}

/** Ask all ranks to order no switch at a pass, then decide. */
export interface AskToRefuse {
  readonly kind: "ask_to_refuse";
  readonly refuse: PassOfEpoch;
}

/** Nothing can be done now. */
export interface Wait {
  readonly kind: "wait";
}

/** What is to be done about a held pass. */
export type RescuePlan = GiveOrders | AskToRefuse | Wait;

const WAIT: Wait = { kind: "wait" };

/**
 * What is to be done about a held pass.
 *
 * With a word of every rank the switch is driven forward. With one of all but
 * rank 0 it can be left out: the decider arms its own rank only when all others
 * are armed, so while none of them is and all refuse to be, rank 0 is not either.
 *
 * @example
 * ```ts
 * const plan = planRescue(words, 12);
 * ```
 */
export function planRescue(
  words: readonly RankWord[],
  ranks: number,
): RescuePlan {
  const states = words.map(({ state }) => state);
  const epochs = new Set(states.map((state) => state.epoch));
  if (epochs.size !== 1) return WAIT;
  const isWhole = states.length === ranks;
  if (isWhole) return planForward(states);
  const isOnlyDeciderMissing = states.length === ranks - 1 &&
    states.every((state) => state.rank !== 0);
  return isOnlyDeciderMissing ? planWithoutDecider(words) : WAIT;
}

function planForward(states: readonly RankState[]): RescuePlan {
  const unfinished = tryFindUnfinished(states);
  const epoch = states[0]?.epoch ?? 0;
  switch (unfinished.kind) {
    case "none":
    case "changing":
      return WAIT;
    case "held_in_vain":
      return orderGo(unfinished.holder, epoch, unfinished.pass);
    case "held": {
      const { holder, version, pass } = unfinished;
      const orders = states
        .filter((state) => !isArmedFor(state, unfinished))
        .map(({ rank }): RescueOrder => ({
          rank,
          order: { kind: "arm", epoch, version, pass },
        }));
      if (orders.length === 0) return orderGo(holder, epoch, pass);
      return { kind: "orders", orders };
    }
  }
}

function planWithoutDecider(words: readonly RankWord[]): RescuePlan {
  const holding = words.find(({ state }) => state.heldPass !== undefined);
  const pass = holding?.state.heldPass;
  if (holding === undefined || pass === undefined) return WAIT;
  const isOrdered = words.some(({ state, orderedPass }) =>
    state.armed !== undefined || (orderedPass ?? -1) >= pass
  );
  if (isOrdered) return WAIT;
  const isRefused = words.every(({ refusedPass }) =>
    (refusedPass ?? -1) >= pass
  );
  const { rank, epoch } = holding.state;
  if (!isRefused) return { kind: "ask_to_refuse", refuse: { epoch, pass } };
  return orderGo(rank, epoch, pass);
}

function orderGo(rank: number, epoch: number, pass: number): GiveOrders {
  return {
    kind: "orders",
    orders: [{ rank, order: { kind: "go", epoch, pass } }],
  };
}
