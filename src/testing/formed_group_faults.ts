/**
 * Faults of a simulated formed group.
 *
 * @module
 */

/** How often faults occur; fractions are numbers from 0 to 1. */
export interface FormedGroupFaults {
  /** Fraction of orders that are executed 2 to 12 s later and not answered. */
  readonly lateOrders: number;
  /** Fraction of orders that are executed immediately but not answered. */
  readonly lostAnswers: number;
  /** Fraction of messages between processes that are lost with their connection. */
  readonly lostMessages: number;
  /** Mean milliseconds between two ends of the decider; 0: never. */
  readonly deciderLifeMs: number;
  /**
   * Fraction of the decider's messages after which it is frozen for four seconds.
   * Messages that arrive meanwhile are kept for it.
   */
  readonly deciderFreezes: number;
  /**
   * Mean milliseconds between two random times at which the decider is frozen; 0: never.
   */
  readonly freezeIntervalMs: number;
  /** Times at which the decider is frozen, in milliseconds. */
  readonly freezeTimes: readonly number[];
  /** Whether only an order to hold a pass can be the last message before a freeze. */
  readonly freezesAfterHoldsOnly: boolean;
  /**
   * Fraction of the messages to a rank's sidecar after which the VM of the rank is frozen
   * for four seconds. Its engine continues its passes but answers no requests.
   */
  readonly rankFreezes: number;
  /**
   * Fraction of the orders to a rank's sidecar that are forgotten, as if the sidecar had
   * ended.
   */
  readonly forgottenOrders: number;
  /** Milliseconds between two formations of the group; 0: never. */
  readonly epochMs: number;
  /** Milliseconds of each ten seconds in which there are no requests. */
  readonly idleMs: number;
}

const NO_FAULTS: FormedGroupFaults = {
  lateOrders: 0,
  lostAnswers: 0,
  lostMessages: 0,
  deciderLifeMs: 0,
  deciderFreezes: 0,
  freezeIntervalMs: 0,
  freezeTimes: [],
  freezesAfterHoldsOnly: false,
  rankFreezes: 0,
  forgottenOrders: 0,
  epochMs: 0,
  idleMs: 0,
};

/** Creates faults of which only the given ones occur. */
export function createFormedGroupFaults(
  faults: Partial<FormedGroupFaults> = {},
): FormedGroupFaults {
  return { ...NO_FAULTS, ...faults };
}
