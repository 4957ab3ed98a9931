/**
 * Performs the effects of a member and dispatches events to it. Calls of the engine are
 * serialized, so that a reported state is never older than the last answered order.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type { RankEngine } from "../external/rank_engine.ts";
import type {
  CoordinatorMessage,
  EngineOrder,
  EngineState,
  MemberMessage,
  RankLoad,
} from "../messages/group_types.ts";
import { GroupMember, type MemberEffect, type MemberEvent } from "./member.ts";

const TICK_MS = 50;
const RETRY_DELAY_MS = 100;

/** Options of a {@link MemberDriver}. */
export interface MemberDriverOptions {
  readonly engine: RankEngine;
  readonly log: EventLog;
  /** Sends a message to rank 0 if it is connected. */
  readonly send: (message: MemberMessage) => void;
}

/** Runs the member of a rank. */
export class MemberDriver {
  readonly #options: MemberDriverOptions;
  readonly #member = new GroupMember();
  #lastEngineCall: Promise<void> = Promise.resolve();
  #isStopped = false;

  /** Starts polling the engine immediately. */
  constructor(options: MemberDriverOptions) {
    this.#options = options;
    void this.#pollEngine();
  }

  /** Processes a message of rank 0. */
  receive(message: CoordinatorMessage): void {
    const now = performance.now();
    this.#dispatch({ kind: "coordinator_said", now, message });
  }

  /** Reads the load that the engine counted; undefined if it does not answer. */
  async tryReadLoad(): Promise<RankLoad | undefined> {
    try {
      return await this.#options.engine.readLoad();
    } catch {
      return undefined;
    }
  }

  /** Stops polling the engine. */
  stop(): void {
    this.#isStopped = true;
  }

  async #pollEngine(): Promise<void> {
    while (!this.#isStopped) {
      await this.#enqueueEngineCall(() => this.#readState());
      this.#dispatch({ kind: "tick", now: performance.now() });
      await sleep(TICK_MS, undefined, { ref: false });
    }
  }

  async #readState(): Promise<void> {
    const engine = await this.#tryReadState();
    if (engine === undefined) return;
    this.#dispatch({ kind: "engine_said", now: performance.now(), engine });
  }

  /** Returns undefined if the engine does not answer; the next poll retries. */
  async #tryReadState(): Promise<EngineState | undefined> {
    try {
      return await this.#options.engine.readState();
    } catch {
      return undefined;
    }
  }

  async #sendOrder(order: EngineOrder, fencingNumber: number): Promise<void> {
    while (!this.#isStopped) {
      const engine = await this.#tryExecute(order, fencingNumber);
      if (engine !== undefined) {
        const now = performance.now();
        return this.#dispatch({ kind: "engine_said", now, engine, order });
      }
      await sleep(RETRY_DELAY_MS, undefined, { ref: false });
    }
  }

  async #tryExecute(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<EngineState | undefined> {
    try {
      return await this.#options.engine.execute(order, fencingNumber);
    } catch {
      return undefined;
    }
  }

  #enqueueEngineCall(call: () => Promise<void>): Promise<void> {
    this.#lastEngineCall = this.#lastEngineCall.then(call);
    return this.#lastEngineCall;
  }

  /** An exception must not count as an engine that does not answer. */
  #dispatch(event: MemberEvent): void {
    tryHandle(this.#options.log, `${event.kind} at a rank`, () => {
      for (const effect of this.#member.reduce(event)) this.#perform(effect);
    });
  }

  #perform(effect: MemberEffect): void {
    if (effect.kind === "say") return this.#options.send(effect.message);
    const { order, fencingNumber } = effect;
    void this.#enqueueEngineCall(() => this.#sendOrder(order, fencingNumber));
  }
}
