/**
 * Tracks the orders of a decider that are not known to be executed, one per rank.
 *
 * @module
 */
import {
  isExecuted,
  type RankOrder,
  type RankState,
} from "../../messages/formed_group_types.ts";

/**
 * Milliseconds after which an order to prepare a map is resent. It carries the full map,
 * about 3 KB for 24 ranks and 16 layers, and a rank takes up to 500 ms to copy the
 * experts that it gains.
 */
const PREPARE_RESEND_MS = 1000;
/**
 * Milliseconds after which any other order is resent, since the group may wait for it.
 */
const RESEND_MS = 120;

/** An order that is not known to be executed. */
export interface OpenOrder {
  readonly rank: number;
  readonly id: number;
  readonly order: RankOrder;
}

interface SentOrder extends OpenOrder {
  readonly sentAt: number;
}

/** Tracks the orders of a decider that are not known to be executed. */
export class OpenOrders {
  readonly #byRank = new Map<number, SentOrder>();
  #nextId: number;

  /** Numbers orders from `firstId`. */
  constructor(firstId: number) {
    this.#nextId = firstId;
  }

  /** Whether no order is open. */
  get isEmpty(): boolean {
    return this.#byRank.size === 0;
  }

  /** Opens an order, which replaces the rank's previous one. */
  open(rank: number, order: RankOrder, now: number): OpenOrder {
    const sent = { rank, id: this.#nextId++, order, sentAt: now };
    this.#byRank.set(rank, sent);
    return sent;
  }

  /** Returns the open order of a rank, if there is one. */
  tryGet(rank: number): OpenOrder | undefined {
    return this.#byRank.get(rank);
  }

  /** Closes a rank's order if the rank's state shows that it was executed. */
  closeIfExecuted(rank: number, state: RankState): void {
    const sent = this.#byRank.get(rank);
    if (sent !== undefined && isExecuted(sent.order, state)) {
      this.#byRank.delete(rank);
    }
  }

  /** Restarts the resend interval of a rank's order. */
  postpone(rank: number, now: number): void {
    const sent = this.#byRank.get(rank);
    if (sent !== undefined) this.#byRank.set(rank, { ...sent, sentAt: now });
  }

  /** Removes all orders. */
  clear(): void {
    this.#byRank.clear();
  }

  /**
   * Returns the orders that are due to be resent and restarts their intervals.
   *
   * @example
   * ```ts
   * for (const order of orders.takeDue(now)) send(order);
   * ```
   */
  takeDue(now: number): readonly OpenOrder[] {
    const due = [...this.#byRank.values()].filter(({ order, sentAt }) =>
      now - sentAt >= getResendIntervalMs(order)
    );
    for (const { rank } of due) this.postpone(rank, now);
    return due;
  }
}

function getResendIntervalMs(order: RankOrder): number {
  return order.kind === "prepare" ? PREPARE_RESEND_MS : RESEND_MS;
}
