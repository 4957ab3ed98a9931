/**
 * Executes a decider's orders at the engine of a rank and reports the engine's state.
 * Keeps no state that must survive a restart.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { FormedEngine } from "../../external/formed_engine.ts";
import { CountsEncoder } from "./counts_encoder.ts";
import { createFenceMap } from "./fence_map.ts";
import {
  type EngineOrder,
  isExecuted,
  type OrderOutcome,
  type RankCheckMessage,
  type RankOrder,
  type RankOrderMessage,
  type RankQueryMessage,
  type RankReportMessage,
  type RankState,
} from "../../messages/formed_group_types.ts";

/** Milliseconds between two polls of an engine that loads a map. */
const LOADING_POLL_INTERVAL_MS = 12;
/** Fraction of the shortest load time before which the engine is not polled. */
const UNPOLLED_LOAD_FRACTION = 0.92;
/** Maximum milliseconds for which an engine may load one map. */
const LOADING_TIMEOUT_MS = 10_000;

/** How an engine is polled for the effect of an order. */
export interface EffectPolling {
  /** Milliseconds between two polls. */
  readonly intervalMs: number;
  /** Milliseconds for which the effect of an accepted order is awaited. */
  readonly timeoutMs: number;
  /**
   * Milliseconds for which the effect of an unanswered order is awaited before a resend.
   */
  readonly unansweredTimeoutMs: number;
}

/**
 * Polling of the engine on the same VM. Its state is current and cheap to read, so one
 * poll shows whether an unanswered order was executed. If a tenth of the orders gets no
 * answer, each switch of 63 ranks has an order that has to be sent three times.
 */
export const LOCAL_ENGINE_POLLING: EffectPolling = {
  intervalMs: 5,
  timeoutMs: 60,
  unansweredTimeoutMs: 0,
};
/**
 * Polling of an engine on another VM. It reports its state with a delay of about 200 ms,
 * and each poll has a cost.
 */
export const REMOTE_ENGINE_POLLING: EffectPolling = {
  intervalMs: 120,
  timeoutMs: 480,
  unansweredTimeoutMs: 480,
};

/** Sends a report to the decider. */
export type ReportSender = (report: RankReportMessage) => void;

/** Executes a decider's orders at the engine of one rank. */
export class RankAgent {
  readonly #engine: FormedEngine;
  readonly #polling: EffectPolling;
  /**
   * The order in progress, which is not executed twice concurrently if it is repeated.
   */
  #currentOrder: RankOrderMessage | undefined;
  readonly #countsEncoder = new CountsEncoder();
  /** Shortest observed load time of a map in milliseconds. */
  #shortestLoadMs = Number.POSITIVE_INFINITY;

  /** Creates an agent for an engine. */
  constructor(
    engine: FormedEngine,
    polling: EffectPolling = LOCAL_ENGINE_POLLING,
  ) {
    this.#engine = engine;
    this.#polling = polling;
  }

  /**
   * Answers a query with the engine's state and the requested counts and experts.
   *
   * @throws when the engine does not answer
   */
  async answer(
    query: RankQueryMessage,
    send: ReportSender,
  ): Promise<void> {
    const counts = query.withCounts
      ? this.#countsEncoder.encode(
        await this.#engine.readCounts(),
        query.knownCounts,
      )
      : undefined;
    const experts = query.withExperts
      ? await this.#engine.readExperts()
      : undefined;
    // The state is read last, so that no report is older than one sent before it. A
    // decider that receives a hold which has already ended treats it as stray and starts
    // over.
    const state = await this.#engine.tryReadState();
    if (state === undefined) return;
    send({ kind: "rank_report", state, counts, experts });
  }

  /**
   * Reports whether an order that another VM sent to the engine was executed.
   *
   * @throws when the engine does not answer
   */
  async check(
    { order, orderId }: RankCheckMessage,
    send: ReportSender,
  ): Promise<void> {
    const state = await this.#engine.tryReadState();
    if (state === undefined) return;
    const isDone = isExecuted(order, state);
    send({ kind: "rank_report", state, orderId, isDone });
  }

  /**
   * Sends an order to the engine until its outcome is known, and reports it.
   *
   * @throws when the engine does not answer
   */
  async execute(
    message: RankOrderMessage,
    send: ReportSender,
  ): Promise<void> {
    const isRepeated = this.#currentOrder?.orderId === message.orderId;
    if (isRepeated) return;
    this.#currentOrder = message;
    try {
      await this.#sendUntilSettled(message, send);
    } finally {
      if (this.#currentOrder === message) this.#currentOrder = undefined;
    }
  }

  async #sendUntilSettled(
    message: RankOrderMessage,
    send: ReportSender,
  ): Promise<void> {
    const { order, orderId } = message;
    const engineOrder = await this.#tryCreateEngineOrder(order);
    if (engineOrder === undefined) return;
    let wasUnanswered = false;
    while (this.#currentOrder === message) {
      const outcome = await this.#engine.sendOrder(engineOrder);
      wasUnanswered ||= outcome === "unanswered";
      const timeoutMs = this.#getPollTimeoutMs(order, outcome, wasUnanswered);
      const state = await this.#pollEffect(order, timeoutMs);
      if (state === undefined) return;
      const isDone = isExecuted(order, state);
      const isSettled = isDone || outcome !== "unanswered" ||
        state.epoch !== order.epoch;
      if (!isSettled) continue;
      send({ kind: "rank_report", state, orderId, isDone });
      return;
    }
  }

  /**
   * Replaces a fence, which engines do not support, by a map without copies to prepare.
   */
  async #tryCreateEngineOrder(
    order: RankOrder,
  ): Promise<EngineOrder | undefined> {
    if (order.kind !== "fence") return order;
    const state = await this.#engine.tryReadState();
    if (state === undefined) return undefined;
    const { rank, ranks } = state;
    const own = await this.#engine.readExperts();
    const [counts] = await this.#engine.readCounts();
    const experts = counts?.length ?? 0;
    const map = createFenceMap({ rank, ranks, own, experts });
    const { epoch, version } = order;
    return { kind: "prepare", epoch, version, map };
  }

  /** Polls the engine until the order has taken effect or the timeout has elapsed. */
  async #pollEffect(
    order: RankOrder,
    timeoutMs: number,
  ): Promise<RankState | undefined> {
    const startedAt = performance.now();
    for (let polls = 0;; polls++) {
      const state = await this.#engine.tryReadState();
      const waitedMs = performance.now() - startedAt;
      const isDone = state !== undefined && isExecuted(order, state);
      const isOver = state === undefined || state.epoch !== order.epoch ||
        isDone || waitedMs >= timeoutMs;
      if (isOver) {
        if (isDone && polls > 0) this.#recordLoadTime(order, waitedMs);
        return state;
      }
      await sleep(this.#getPollDelayMs(order, polls), undefined, {
        ref: false,
      });
    }
  }

  /** Skips polls during most of a load, since all copies take about the same time. */
  #getPollDelayMs(order: RankOrder, polls: number): number {
    if (order.kind !== "prepare") return this.#polling.intervalMs;
    const isKnown = Number.isFinite(this.#shortestLoadMs);
    const isFirst = polls === 0 && isKnown;
    return isFirst
      ? this.#shortestLoadMs * UNPOLLED_LOAD_FRACTION
      : Math.max(LOADING_POLL_INTERVAL_MS, this.#polling.intervalMs);
  }

  #recordLoadTime(order: RankOrder, loadMs: number): void {
    if (order.kind !== "prepare") return;
    this.#shortestLoadMs = Math.min(this.#shortestLoadMs, loadMs);
  }

  /**
   * Returns how long to poll for the effect of an order. After a rejection one poll is
   * enough: if an earlier unanswered send was executed, it has taken effect already,
   * except for a map, which may still be loading.
   */
  #getPollTimeoutMs(
    order: RankOrder,
    outcome: OrderOutcome,
    wasUnanswered: boolean,
  ): number {
    const isLoading = order.kind === "prepare" &&
      (outcome === "accepted" || (outcome === "rejected" && wasUnanswered));
    if (isLoading) return LOADING_TIMEOUT_MS;
    if (outcome === "rejected") return 0;
    return outcome === "unanswered"
      ? this.#polling.unansweredTimeoutMs
      : this.#polling.timeoutMs;
  }
}
