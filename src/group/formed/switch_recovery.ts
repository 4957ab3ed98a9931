/**
 * Completes a held switch that the decider does not complete. Runs in the sidecar of the
 * holder and uses the same logic as the decider, but proposes no maps.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { RandomSource } from "../../core/random_source.ts";
import type { EventLog } from "../../events/event_log.ts";
import type { FormedEngine } from "../../external/formed_engine.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import { FormedGroupDecider } from "./decider.ts";
import type {
  DeciderEffect,
  DeciderEvent,
  SendOrder,
} from "./decider_types.ts";
import { logEngineFault } from "./engine_faults.ts";
import { readHeldPass } from "./held_pass.ts";
import { HeldPassWatch } from "./held_pass_watch.ts";
import type { RankAgent } from "./rank_agent.ts";
import { type GroupMemberAddress, RankLinks } from "./rank_links.ts";
import type {
  RankReportMessage,
  RankState,
} from "../../messages/formed_group_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

const TICK_MS = 25;
/** Lower limit of the random number of the first order, above all numbers of deciders. */
const MIN_FIRST_ORDER_ID = 2 ** 40;
const ORDER_ID_RANGE = 2 ** 31;

/** Options of a {@link SwitchRecovery}. */
export interface SwitchRecoveryOptions {
  readonly identity: LinkIdentity;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Executes orders at the holder's engine. */
  readonly agent: RankAgent;
  /** Creates a client of an engine on another VM. */
  readonly createEngine: (address: SocketAddress) => FormedEngine;
}

/** Completes a held switch that the decider does not complete. */
export class SwitchRecovery {
  readonly #options: SwitchRecoveryOptions;
  #addresses: readonly GroupMemberAddress[] = [];
  #rank: number | undefined;
  readonly #watch = new HeldPassWatch();
  /** Last report of the decider that rank 0 is armed. */
  #armedReport: RankReportMessage | undefined;
  #decider: FormedGroupDecider | undefined;
  #links: RankLinks | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** Starts without the other ranks, which are set by {@link setMembers}. */
  constructor(options: SwitchRecoveryOptions) {
    this.#options = options;
  }

  /** Sets the processes of all ranks, including this one. */
  setMembers(addresses: readonly GroupMemberAddress[]): void {
    this.#addresses = addresses;
  }

  /** Stops sending orders and closes the links. */
  stop(): void {
    clearInterval(this.#timer);
    this.#links?.stop();
    this.#timer = undefined;
    this.#links = undefined;
    this.#decider = undefined;
  }

  /** Records that rank 0 is armed, which remains true until the pass begins. */
  recordArmed(report: RankReportMessage): void {
    this.#armedReport = report;
  }

  /** Processes a state of the holder's engine. */
  observe(state: RankState, now: number): void {
    this.#rank = state.rank;
    const awaitedMs = this.#watch.observe(state, now);
    const isOver = state.heldPass === undefined;
    if (isOver) return this.stop();
    if (awaitedMs === undefined) return;
    this.#decider ??= this.#start(state, awaitedMs);
    this.#onReport({ kind: "rank_report", state });
    if (this.#armedReport !== undefined) this.#onReport(this.#armedReport);
  }

  #onReport(report: RankReportMessage): void {
    const { rank } = report.state;
    const now = performance.now();
    this.#dispatch({ kind: "rank_reported", now, rank, report });
  }

  #start(state: RankState, awaitedMs: number): FormedGroupDecider {
    const { identity, random, log, createEngine } = this.#options;
    log.write("SWITCH_RESCUED", {
      epoch: state.epoch,
      pass: state.heldPass,
      held: readHeldPass(state).kind,
      awaitedMs: Math.round(awaitedMs),
    });
    this.#links = new RankLinks({
      identity,
      log,
      createEngine,
      group: state.group,
      onReport: (_member, report) => this.#onReport(report),
    });
    this.#links.setMembers(this.#addresses);
    this.#timer = setInterval(
      () => this.#dispatch({ kind: "tick", now: performance.now() }),
      TICK_MS,
    );
    return new FormedGroupDecider({
      state,
      random,
      now: performance.now(),
      firstOrderId: MIN_FIRST_ORDER_ID + random.nextBelow(ORDER_ID_RANGE),
    });
  }

  #dispatch(event: DeciderEvent): void {
    for (const effect of this.#decider?.reduce(event) ?? []) {
      this.#perform(effect);
    }
  }

  /** Performs orders and logs phases; queries are answered by polling the holder. */
  #perform(effect: DeciderEffect): void {
    if (effect.kind === "send_order") this.#sendOrder(effect);
    if (effect.kind !== "phase_entered") return;
    const { kind: _, tookMs, ...details } = effect;
    this.#options.log.write("MAP_PHASE", {
      ...details,
      tookMs: Math.round(tookMs),
      isRescue: true,
    });
  }

  #sendOrder(effect: SendOrder): void {
    const { rank, orderId, order } = effect;
    if (rank !== this.#rank) return this.#links?.sendOrder(effect);
    this.#options.agent
      .execute(
        { kind: "rank_order", orderId, order },
        (report) => this.#onReport(report),
      )
      .catch((error) => logEngineFault(this.#options.log, error, { rank }));
  }
}
