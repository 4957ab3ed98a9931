/**
 * Gives a decider's orders to the engine of a rank, and tells how the engine stands.
 * Keeps nothing that must outlive the process.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { FormedEngine } from "../../external/formed_engine.ts";
import { CountsEncoder } from "./counts_memory.ts";
import { createFenceMap } from "./fence_map.ts";
import {
  type EngineOrder,
  isCarriedOut,
  type OrderOutcome,
  type RankCheckMessage,
  type RankOrder,
  type RankOrderMessage,
  type RankQueryMessage,
  type RankReportMessage,
  type RankState,
} from "../../messages/formed_group_types.ts";

/** Milliseconds between two looks at an engine that loads a map. */
const LOADING_POLL_INTERVAL_MS = 12;
/** Part of the shortest load in which no look is worth its cost. */
const UNPOLLED_LOAD_FRACTION = 0.92;
/** Milliseconds for which an engine may load one map. */
const LOADING_TIMEOUT_MS = 10_000;
/** How an engine's state is watched for the effect of an order. */
export interface EffectPolling {
  /** Milliseconds between two looks at an order that should have taken effect. */
  readonly intervalMs: number;
  /** Milliseconds for which an order that was accepted is watched. */
  readonly timeoutMs: number;
  /** The same for one without an answer, before it is given again. */
  readonly unansweredTimeoutMs: number;
}

/**
 * An engine on the same machine tells its state as it is, at no cost: one look shows
 * whether an order without an answer was carried out. With 63 ranks some order of each
 * switch has to be given a third time where a tenth of them gets no answer.
 */
export const LOCAL_ENGINE_POLLING: EffectPolling = {
  intervalMs: 5,
  timeoutMs: 60,
  unansweredTimeoutMs: 0,
};
/**
 * To other machines an engine tells its state as it was some 200 ms before, and each
 * look has its price.
 */
export const REMOTE_ENGINE_POLLING: EffectPolling = {
  intervalMs: 120,
  timeoutMs: 480,
  unansweredTimeoutMs: 480,
};

/** Sends a report to the decider. */
export type ReportSender = (report: RankReportMessage) => void;

/** Gives a decider's orders to the engine of one rank. */
export class RankAgent {
  readonly #engine: FormedEngine;
  readonly #polling: EffectPolling;
  /** The order under way; a repeated one is not given twice at once. */
  #current: RankOrderMessage | undefined;
  readonly #countsEncoder = new CountsEncoder();
  /** Shortest time that a map took to load, in milliseconds. */
  #shortestLoadMs = Number.POSITIVE_INFINITY;

  /** Takes the engine, and how to watch it. */
  constructor(
    engine: FormedEngine,
    watch: EffectPolling = LOCAL_ENGINE_POLLING,
  ) {
    this.#engine = engine;
    this.#polling = watch;
  }

  /**
   * How the engine stands, with what else is asked for.
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
    // Read last, so that no report overtakes one of a later state: a decider that hears
    // of a hold which has ended meanwhile takes it for a stray one and starts over.
    const state = await this.#engine.tryReadState();
    if (state === undefined) return;
    send({ kind: "rank_report", state, counts, experts });
  }

  /**
   * Whether an order that another machine gave was carried out.
   *
   * @throws when the engine does not answer
   */
  async check(
    { order, orderId }: RankCheckMessage,
    send: ReportSender,
  ): Promise<void> {
    const state = await this.#engine.tryReadState();
    if (state === undefined) return;
    const isDone = isCarriedOut(order, state);
    send({ kind: "rank_report", state, orderId, isDone });
  }

  /**
   * Gives an order until the engine's state shows what became of it.
   *
   * @throws when the engine does not answer
   */
  async carryOut(
    message: RankOrderMessage,
    send: ReportSender,
  ): Promise<void> {
    const isRepeated = this.#current?.orderId === message.orderId;
    if (isRepeated) return;
    this.#current = message;
    try {
      await this.#sendUntilSettled(message, send);
    } finally {
      if (this.#current === message) this.#current = undefined;
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
    while (this.#current === message) {
      const outcome = await this.#engine.give(engineOrder);
      wasUnanswered ||= outcome === "unanswered";
      const limitMs = this.#getPollTimeoutMs(order, outcome, wasUnanswered);
      const state = await this.#pollEffect(order, limitMs);
      if (state === undefined) return;
      const isDone = isCarriedOut(order, state);
      const isSettled = isDone || outcome !== "unanswered" ||
        state.epoch !== order.epoch;
      if (!isSettled) continue;
      send({ kind: "rank_report", state, orderId, isDone });
      return;
    }
  }

  /** An engine knows no fences: it prepares a map that changes nothing for it. */
  async #tryCreateEngineOrder(
    order: RankOrder,
  ): Promise<EngineOrder | undefined> {
    if (order.kind !== "fence") return order;
    const state = await this.#engine.tryReadState();
    if (state === undefined) return undefined;
    const { rank, ranks } = state;
    const own = await this.#engine.readExperts();
    const [counted] = await this.#engine.readCounts();
    const experts = counted?.length ?? 0;
    const map = createFenceMap({ rank, ranks, own, experts });
    const { epoch, version } = order;
    return { kind: "prepare", epoch, version, map };
  }

  /** Looks until the order shows, or for so long. */
  async #pollEffect(
    order: RankOrder,
    limitMs: number,
  ): Promise<RankState | undefined> {
    const startedAt = performance.now();
    for (let look = 0;; look++) {
      const state = await this.#engine.tryReadState();
      const waitedMs = performance.now() - startedAt;
      const isDone = state !== undefined && isCarriedOut(order, state);
      const isOver = state === undefined || state.epoch !== order.epoch ||
        isDone || waitedMs >= limitMs;
      if (isOver) {
        if (isDone && look > 0) this.#recordLoadTime(order, waitedMs);
        return state;
      }
      await sleep(this.#getPollDelayMs(order, look), undefined, { ref: false });
    }
  }

  /** One copy takes as long as the next: most of it need not be looked at. */
  #getPollDelayMs(order: RankOrder, look: number): number {
    if (order.kind !== "prepare") return this.#polling.intervalMs;
    const isKnown = Number.isFinite(this.#shortestLoadMs);
    const isFirst = look === 0 && isKnown;
    return isFirst
      ? this.#shortestLoadMs * UNPOLLED_LOAD_FRACTION
      : Math.max(LOADING_POLL_INTERVAL_MS, this.#polling.intervalMs);
  }

  #recordLoadTime(order: RankOrder, tookMs: number): void {
    if (order.kind !== "prepare") return;
    this.#shortestLoadMs = Math.min(this.#shortestLoadMs, tookMs);
  }

  /**
   * How long an order may take to show. One that was refused shows at once if an
   * earlier giving of it was carried out without an answer.
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
