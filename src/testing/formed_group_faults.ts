/**
 * What goes wrong in a model of a formed group.
 *
 * @module
 */

/** How often things go wrong, as shares from 0 to 1. */
export interface FormedGroupFaults {
  /** Orders that are carried out 2 to 12 s later, without an answer. */
  readonly lateOrders: number;
  /** Orders that are carried out at once, without an answer. */
  readonly lostAnswers: number;
  /** Messages between processes that are lost with their connection. */
  readonly lostMessages: number;
  /** Milliseconds between two ends of the decider; 0: never. */
  readonly deciderLifeMs: number;
  /**
   * Share of the decider's messages after which it stands still for four seconds,
   * what arrives meanwhile being kept for it.
   */
  readonly deciderFreezes: number;
  /** Mean milliseconds between two moments, any, at which it stands still; 0: never. */
  readonly freezesEveryMs: number;
  /** Moments at which it stands still, in milliseconds. */
  readonly freezesAt: readonly number[];
  /** Whether only the order to hold a pass can be the last before it. */
  readonly freezesAfterHoldsOnly: boolean;
  /**
   * Share of the messages to a rank's process after which its machine stands still for
   * four seconds. Its engine makes passes, but answers nobody.
   */
  readonly rankFreezes: number;
  /** Share of the orders to a rank's process that are forgotten, as if it ended. */
  readonly forgottenOrders: number;
  /** Milliseconds between two formations of the group; 0: never. */
  readonly epochMs: number;
  /** Milliseconds of each ten seconds in which there is no work. */
  readonly idleMs: number;
}

const CALM: FormedGroupFaults = {
  lateOrders: 0,
  lostAnswers: 0,
  lostMessages: 0,
  deciderLifeMs: 0,
  deciderFreezes: 0,
  freezesEveryMs: 0,
  freezesAt: [],
  freezesAfterHoldsOnly: false,
  rankFreezes: 0,
  forgottenOrders: 0,
  epochMs: 0,
  idleMs: 0,
};

/** Nothing goes wrong but what is named. */
export function createFormedGroupFaults(
  faults: Partial<FormedGroupFaults> = {},
): FormedGroupFaults {
  return { ...CALM, ...faults };
}
