/**
 * Orders of a decider that are not known to be carried out, one a rank.
 *
 * @module
 */
import {
  isCarriedOut,
  type RankOrder,
  type RankState,
} from "../../messages/formed_group_types.ts";

/**
 * Milliseconds after which an order to prepare a map is sent again. It carries the
 * whole map, some 3 KB for 24 ranks and 16 layers, and a rank takes up to 500 ms to
 * copy what it gains.
 */
const PREPARE_RESEND_MS = 1000;
/** Milliseconds after which any other order is sent again: the group may wait. */
const RESEND_MS = 120;

/** An order that is not known to be carried out. */
export interface OpenOrder {
  readonly rank: number;
  readonly id: number;
  readonly order: RankOrder;
}

interface SentOrder extends OpenOrder {
  readonly sentAt: number;
}

/** Orders of a decider that are not known to be carried out. */
export class OpenOrders {
  readonly #byRank = new Map<number, SentOrder>();
  #nextId: number;

  /** Orders are numbered from `firstId`. */
  constructor(firstId: number) {
    this.#nextId = firstId;
  }

  /** Whether every order was carried out. */
  get isEmpty(): boolean {
    return this.#byRank.size === 0;
  }

  /** Notes an order in place of the rank's one before. */
  open(rank: number, order: RankOrder, now: number): OpenOrder {
    const sent = { rank, id: this.#nextId++, order, sentAt: now };
    this.#byRank.set(rank, sent);
    return sent;
  }

  /** The rank's order, if one is open. */
  tryGet(rank: number): OpenOrder | undefined {
    return this.#byRank.get(rank);
  }

  /** Closes the rank's order if its state shows that it was carried out. */
  closeIfExecuted(rank: number, state: RankState): void {
    const sent = this.#byRank.get(rank);
    if (sent !== undefined && isCarriedOut(sent.order, state)) {
      this.#byRank.delete(rank);
    }
  }

  /** The rank has just answered: its order is not sent again at once. */
  postpone(rank: number, now: number): void {
    const sent = this.#byRank.get(rank);
    if (sent !== undefined) this.#byRank.set(rank, { ...sent, sentAt: now });
  }

  /** Gives up all orders. */
  clear(): void {
    this.#byRank.clear();
  }

  /**
   * The orders that are to be sent again now.
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
