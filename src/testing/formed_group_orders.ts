/**
 * Simulates the sidecars of the ranks of a formed group. Each sends its engine one order
 * at a time, and repeats it until it is answered.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import {
  isCarriedOut,
  type RankOrderMessage,
  type RankReportMessage,
} from "../messages/formed_group_types.ts";
import type { EventQueue } from "./event_queue.ts";
import { type FormedGroupEngines, LOAD_MS } from "./formed_group_engines.ts";
import type { FormedGroupFaults } from "./formed_group_faults.ts";

const ORDER_LIMIT_MS = 40;
/** Milliseconds from the end of loading a map until the engine answers; one tick. */
const ANSWER_MS = 20;

/** Reports the state of the engine to the sender of an order. */
export type AnswerOrder = (report: RankReportMessage) => void;

/** Options of {@link FormedGroupOrders}. */
export interface FormedGroupOrdersOptions {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly faults: FormedGroupFaults;
  readonly engines: FormedGroupEngines;
}

/** The orders that the sidecars of the ranks execute. */
export class FormedGroupOrders {
  readonly #parts: FormedGroupOrdersOptions;
  readonly #orders = new Map<number, RankOrderMessage>();

  /** Creates sidecars without current orders. */
  constructor(options: FormedGroupOrdersOptions) {
    this.#parts = options;
  }

  /** Sends an order to the engine of a rank, and repeats it until it is answered. */
  carryOut(answer: AnswerOrder, rank: number, message: RankOrderMessage): void {
    if (this.#orders.get(rank)?.orderId === message.orderId) return;
    const { random, faults } = this.#parts;
    if (random.nextFraction() < faults.forgottenOrders) {
      this.#orders.delete(rank);
      return;
    }
    this.#orders.set(rank, message);
    this.#give(answer, rank, message);
  }

  #give(answer: AnswerOrder, rank: number, message: RankOrderMessage): void {
    if (this.#orders.get(rank) !== message) return;
    const { queue, random, faults, engines } = this.#parts;
    const { order } = message;
    const draw = random.nextFraction();
    const { lateOrders, lostAnswers } = faults;
    if (draw < lateOrders) {
      engines.applyLate(rank, message);
      return queue.after(
        ORDER_LIMIT_MS,
        () => this.#settle(answer, rank, message, "unanswered"),
      );
    }
    const isAccepted = engines.apply(rank, message);
    if (draw < lateOrders + lostAnswers) {
      return queue.after(
        ORDER_LIMIT_MS,
        () => this.#settle(answer, rank, message, "unanswered"),
      );
    }
    const isLoading = order.kind === "prepare" && isAccepted &&
      !isCarriedOut(order, engines.stateOf(rank));
    queue.after(
      isLoading ? LOAD_MS + ANSWER_MS : 2,
      () => this.#settle(answer, rank, message, "answered"),
    );
  }

  #settle(
    answer: AnswerOrder,
    rank: number,
    message: RankOrderMessage,
    outcome: "answered" | "unanswered",
  ): void {
    if (this.#orders.get(rank) !== message) return;
    const { order, orderId } = message;
    const state = this.#parts.engines.stateOf(rank);
    const isDone = isCarriedOut(order, state);
    const isSettled = isDone || outcome === "answered" ||
      state.epoch !== order.epoch;
    if (!isSettled) return this.#give(answer, rank, message);
    this.#orders.delete(rank);
    answer({ kind: "rank_report", state, orderId, isDone });
  }
}
