/**
 * Simulates the sidecars of the ranks of a formed group. Each sends its engine one order
 * at a time, and repeats it until it is answered.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import {
  isExecuted,
  type RankOrderMessage,
  type RankReportMessage,
} from "../messages/formed_group_types.ts";
import type { EventQueue } from "./event_queue.ts";
import { type FormedGroupEngines, LOAD_MS } from "./formed_group_engines.ts";
import type { FormedGroupFaults } from "./formed_group_faults.ts";

const ORDER_TIMEOUT_MS = 40;
/** Milliseconds from the end of loading a map until the engine answers; one tick. */
const ANSWER_DELAY_MS = 20;

/** Reports the state of the engine to the sender of an order. */
export type SendReport = (report: RankReportMessage) => void;

/** Options of {@link FormedGroupOrders}. */
export interface FormedGroupOrdersOptions {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly faults: FormedGroupFaults;
  readonly engines: FormedGroupEngines;
}

/** The orders that the sidecars of the ranks execute. */
export class FormedGroupOrders {
  readonly #options: FormedGroupOrdersOptions;
  readonly #currentOrders = new Map<number, RankOrderMessage>();

  /** Creates sidecars without current orders. */
  constructor(options: FormedGroupOrdersOptions) {
    this.#options = options;
  }

  /** Sends an order to the engine of a rank, and repeats it until it is answered. */
  execute(
    sendReport: SendReport,
    rank: number,
    message: RankOrderMessage,
  ): void {
    if (this.#currentOrders.get(rank)?.orderId === message.orderId) return;
    const { random, faults } = this.#options;
    if (random.nextFraction() < faults.forgottenOrders) {
      this.#currentOrders.delete(rank);
      return;
    }
    this.#currentOrders.set(rank, message);
    this.#send(sendReport, rank, message);
  }

  #send(sendReport: SendReport, rank: number, message: RankOrderMessage): void {
    if (this.#currentOrders.get(rank) !== message) return;
    const { queue, random, faults, engines } = this.#options;
    const { order } = message;
    const fraction = random.nextFraction();
    const { lateOrders, lostAnswers } = faults;
    if (fraction < lateOrders) {
      engines.executeLate(rank, message);
      return queue.after(
        ORDER_TIMEOUT_MS,
        () => this.#complete(sendReport, rank, message, "unanswered"),
      );
    }
    const isAccepted = engines.execute(rank, message);
    if (fraction < lateOrders + lostAnswers) {
      return queue.after(
        ORDER_TIMEOUT_MS,
        () => this.#complete(sendReport, rank, message, "unanswered"),
      );
    }
    const isLoading = order.kind === "prepare" && isAccepted &&
      !isExecuted(order, engines.getState(rank));
    queue.after(
      isLoading ? LOAD_MS + ANSWER_DELAY_MS : 2,
      () => this.#complete(sendReport, rank, message, "answered"),
    );
  }

  #complete(
    sendReport: SendReport,
    rank: number,
    message: RankOrderMessage,
    outcome: "answered" | "unanswered",
  ): void {
    if (this.#currentOrders.get(rank) !== message) return;
    const { order, orderId } = message;
    const state = this.#options.engines.getState(rank);
    const isDone = isExecuted(order, state);
    const isSettled = isDone || outcome === "answered" ||
      state.epoch !== order.epoch;
    if (!isSettled) return this.#send(sendReport, rank, message);
    this.#currentOrders.delete(rank);
    sendReport({ kind: "rank_report", state, orderId, isDone });
  }
}
