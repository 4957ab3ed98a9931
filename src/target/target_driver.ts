/**
 * Runs a target: dispatches events to its reducer and performs the resulting effects.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { assertNever } from "../core/debug.ts";
import type { EventLog } from "../events/event_log.ts";
import { logInternalFault } from "../events/internal_faults.ts";
import { GroupParticipant } from "../group/group_participant.ts";
import type { Link } from "../links/link.ts";
import { LinkServer, type LinkServerListener } from "../links/link_server.ts";
import { PeerBodySource } from "../settings/peer_body_source.ts";
import type { LinkFault } from "../messages/codec.ts";
import {
  type HelloMessage,
  isSettingsMessage,
  type Message,
} from "../messages/types.ts";
import type { BackEnd } from "../external/back_end.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { RankEngine } from "../external/rank_engine.ts";
import { VirtualMachineListReader } from "../external/virtual_machine_list_reader.ts";
import type {
  VirtualMachine,
  VirtualMachineList,
} from "../external/virtual_machine_list.ts";
import { createHonoListener } from "../process/hono_listener.ts";
import type { HttpListener } from "../process/http_listener.ts";
import { Metrics } from "../process/metrics.ts";
import type { TargetProcessSettings } from "../process/process_settings.ts";
import type { Drainable } from "../process/shutdown.ts";
import { BodyCache } from "../settings/body_source.ts";
import { getReachableHashes } from "../settings/reachable.ts";
import { SettingsExchange } from "../settings/settings_exchange.ts";
import { SettingsKeeper } from "../settings/settings_keeper.ts";
import type { GroupDocument } from "../messages/settings_documents.ts";
import type { SettingsSnapshot } from "../settings/snapshot.ts";
import { BackEndCalls } from "./back_end_calls.ts";
import type { ClaimKeeper } from "./claim_keeper.ts";
import { startClaims } from "./start_claims.ts";
import { createTargetPages } from "./target_pages.ts";
import { TargetReducer } from "./target_reducer.ts";
import type { TargetEffect, TargetEvent } from "./types.ts";

/**
 * Milliseconds between two ticks, and thus also the maximum additional delay of gathered
 * tokens.
 */
const TICK_MS = 10;
/** Milliseconds for which a drained target waits until new owners fetch its keys. */
const HANDOVER_TIMEOUT_MS = 4000;

/** Options of {@link TargetDriver}. */
export interface TargetDriverOptions {
  readonly settings: TargetProcessSettings;
  readonly incarnation: string;
  readonly backEnd: BackEnd;
  readonly rankEngine?: RankEngine;
  readonly keyValueService?: KeyValueService;
  readonly machineList?: VirtualMachineList;
  readonly log: EventLog;
}

/** A running target. */
export class TargetDriver implements Drainable, LinkServerListener {
  readonly #options: TargetDriverOptions;
  readonly #reducer: TargetReducer;
  readonly #links = new Map<number, Link>();
  readonly #calls: BackEndCalls;
  readonly #metrics: Metrics;
  readonly #listener: HttpListener;
  readonly #keeper: SettingsKeeper;
  readonly #exchange: SettingsExchange;
  readonly #bodies = new BodyCache();
  #claims: ClaimKeeper | undefined;
  #group: GroupParticipant | undefined;
  #virtualMachineListReader: VirtualMachineListReader | undefined;
  #tickTimer: NodeJS.Timeout | undefined;
  #nextLinkId = 1;
  #isLeavingByList = false;
  #isLeavingBySettings = false;
  #onDrained: (() => void) | undefined;
  #pendingHandovers = 0;

  /** Creates a target that does not listen yet. */
  constructor(options: TargetDriverOptions) {
    this.#options = options;
    this.#reducer = new TargetReducer({
      limits: options.settings,
      now: performance.now(),
    });
    this.#keeper = new SettingsKeeper(this.#bodies, {
      onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
    });
    const peers = new PeerBodySource();
    this.#bodies.addSource(peers);
    this.#exchange = new SettingsExchange({
      keeper: this.#keeper,
      bodies: this.#bodies,
      peers,
    });
    this.#metrics = new Metrics(() => ({
      inFlight: this.inFlight,
      queued: this.#reducer.queued,
      settingsRevision: this.#keeper.revision,
      olderOffers: this.#keeper.olderOffers,
    }), options.log);
    this.#calls = new BackEndCalls({
      backEnd: options.backEnd,
      metrics: this.#metrics,
      log: options.log,
      onEvent: (event) => this.#dispatch(event),
    });
    this.#listener = createHonoListener(createTargetPages({
      isLeaving: () => this.#reducer.isLeaving,
      metrics: this.#metrics,
    }));
    new LinkServer(this.#listener.server, {
      identity: { ...options.settings, incarnation: options.incarnation },
      welcome: {
        pool: options.settings.pool,
        concurrency: options.settings.concurrency,
      },
      log: options.log,
      listener: this,
    });
  }

  /** Number of queued and running requests. */
  get inFlight(): number {
    return this.#reducer.queued + this.#reducer.running;
  }

  /**
   * Starts listening and claiming key slots.
   *
   * @throws if the address is not available
   */
  async start(): Promise<void> {
    const { settings, machineList, log } = this.#options;
    await this.#listener.listen(settings.address);
    this.#tickTimer = setInterval(() =>
      this.#dispatch({
        kind: "tick",
        now: performance.now(),
      }), TICK_MS);
    this.#claims = startClaims({
      ...this.#options,
      onEvent: (event) => this.#dispatch(event),
    });
    this.#startGroup();
    if (machineList !== undefined) {
      this.#virtualMachineListReader = new VirtualMachineListReader({
        list: machineList,
        onFault: (error) => logInternalFault(log, "the list of VMs", error),
        onList: (virtualMachines) => this.#onVirtualMachines(virtualMachines),
        onReachable: (isReachable) =>
          log.write(isReachable ? "PLATFORM_REACHED" : "PLATFORM_UNREACHABLE", {
            service: "machine list",
          }),
      });
    }
    log.write("STARTED", {
      address: settings.address,
      pool: settings.pool,
      incarnation: this.#options.incarnation,
    });
  }

  drain(onDrained: () => void): void {
    this.#onDrained = onDrained;
    this.#dispatch({ kind: "drain_requested", now: performance.now() });
  }

  async close(): Promise<void> {
    clearInterval(this.#tickTimer);
    this.#claims?.stop();
    this.#group?.stop();
    this.#virtualMachineListReader?.stop();
    for (const link of this.#links.values()) link.close();
    await this.#options.backEnd.close();
    this.#listener.close();
  }

  onPeer(link: Link, hello: HelloMessage) {
    if (hello.role === "target") return this.#onCoordinator(link, hello.name);
    if (hello.role === "successor") return this.#onSuccessor(link);
    const linkId = this.#nextLinkId++;
    this.#links.set(linkId, link);
    this.#options.log.write("ENTRY_CONNECTED", { entry: hello.name });
    this.#exchange.addLink(link);
    this.#dispatch({ kind: "link_opened", now: performance.now(), linkId });
    return {
      onMessage: (message: Message) => this.#onMessage(linkId, message),
      onClose: (fault?: LinkFault) => this.#onLinkClosed(linkId, fault),
    };
  }

  /**
   * Accepts the connection of rank 0 of this target's group, which alone may send orders
   * for its engine.
   */
  #onCoordinator(link: Link, name: string) {
    if (name === this.#options.settings.group?.coordinatorName) {
      this.#group?.addLink(link);
    } else {
      link.close("NOT_COORDINATOR");
    }
    return {
      onMessage: (message: Message) => this.#group?.receive(link, message),
      onClose: (fault?: LinkFault) => this.#countFault(fault),
    };
  }

  /** Accepts the connection of the new owner of slots that this target released. */
  #onSuccessor(link: Link) {
    const linkId = this.#nextLinkId++;
    this.#links.set(linkId, link);
    return {
      onMessage: (message: Message) => {
        if (message.kind !== "ledger_request") return;
        const { slot } = message;
        this.#dispatch({
          kind: "hand_over_asked",
          now: performance.now(),
          linkId,
          slot,
        });
        link.flush();
        this.#pendingHandovers--;
        if (this.#pendingHandovers === 0) this.#onDrained?.();
      },
      onClose: () => {
        this.#links.delete(linkId);
      },
    };
  }

  onRejected(fault: LinkFault | undefined): void {
    if (fault === undefined) return;
    this.#metrics.countLinkFault(fault);
    this.#options.log.write("PEER_REJECTED", { fault });
  }

  #startGroup(): void {
    const { settings, incarnation, rankEngine, log } = this.#options;
    const { group } = settings;
    if (group === undefined || rankEngine === undefined) return;
    this.#group = new GroupParticipant({
      group,
      identity: { ...settings, incarnation },
      engine: rankEngine,
      trySettings: () => this.#tryGroupSettings(group.name),
      log,
    });
  }

  #tryGroupSettings(name: string): GroupDocument | undefined {
    const document = this.#keeper.snapshot?.documents.get(`/groups/${name}`);
    return document?.kind === "group" ? document : undefined;
  }

  #onMessage(linkId: number, message: Message): void {
    const link = this.#links.get(linkId);
    if (link === undefined) return;
    if (isSettingsMessage(message)) {
      return this.#exchange.receive(link, message);
    }
    if (message.kind === "status_request") {
      return link.send({
        kind: "status",
        revision: this.#keeper.revision,
        queued: this.#reducer.queued,
        running: this.#reducer.running,
        leaving: this.#reducer.isLeaving,
      });
    }
    this.#dispatch({
      kind: "message_received",
      now: performance.now(),
      wallNow: Date.now(),
      linkId,
      message,
    });
  }

  #onLinkClosed(linkId: number, fault: LinkFault | undefined): void {
    const link = this.#links.get(linkId);
    this.#links.delete(linkId);
    if (link !== undefined) this.#exchange.removeLink(link);
    this.#countFault(fault);
    this.#dispatch({ kind: "link_closed", now: performance.now(), linkId });
  }

  /**
   * Updates whether the list of VMs marks this target as leaving. A leaving target
   * refuses new requests of all entries, including those that do not know yet that it
   * leaves.
   */
  #onVirtualMachines(virtualMachines: readonly VirtualMachine[]): void {
    this.#claims?.setVirtualMachines(virtualMachines);
    const { name } = this.#options.settings;
    const own = virtualMachines.find((virtualMachine) =>
      virtualMachine.name === name
    );
    this.#isLeavingByList = own?.state === "leaving";
    this.#dispatchLeaving();
  }

  #dispatchLeaving(): void {
    this.#dispatch({
      kind: "leaving_set",
      now: performance.now(),
      isLeaving: this.#isLeavingByList || this.#isLeavingBySettings,
    });
  }

  #countFault(fault: LinkFault | undefined): void {
    if (fault === undefined) return;
    this.#metrics.countLinkFault(fault);
    this.#options.log.write("LINK_FAULT", { fault });
  }

  #onSnapshot(snapshot: SettingsSnapshot): void {
    this.#options.log.write("SETTINGS_IN_FORCE", {
      revision: snapshot.head.revision,
    });
    if (snapshot.changed === undefined) {
      this.#bodies.retain(getReachableHashes(snapshot));
    }
    this.#exchange.offerToAll();
    const { name } = this.#options.settings;
    const own = snapshot.documents.get(`/targets/${name}`);
    this.#isLeavingBySettings = own?.kind === "target" && own.leaving;
    this.#dispatchLeaving();
  }

  #dispatch(event: TargetEvent): void {
    for (const effect of this.#reducer.reduce(event)) {
      this.#performEffect(effect);
    }
  }

  #performEffect(effect: TargetEffect): void {
    switch (effect.kind) {
      case "reply":
        this.#links.get(effect.linkId)?.send(effect.message);
        return;
      case "broadcast":
        for (const link of this.#links.values()) link.send(effect.message);
        return;
      case "start_back_end":
        return this.#calls.start(effect);
      case "cancel_back_end":
        return this.#calls.cancel(effect.runId);
      case "confirm_claims":
        this.#options.log.write("PAUSED");
        this.#claims?.requestRead();
        return;
      case "count_refusal":
        return this.#metrics.countRefusal(effect.reason);
      case "drained":
        return void this.#finishDrain();
      default:
        assertNever(effect);
    }
  }

  async #finishDrain(): Promise<void> {
    const releasedCount = await this.#claims?.release() ?? 0;
    for (const link of this.#links.values()) link.flush();
    if (releasedCount === 0) return this.#onDrained?.();
    this.#options.log.write("SLOTS_RELEASED", { slots: releasedCount });
    // New owners fetch the keys. If there is none, the timeout ends the wait.
    this.#pendingHandovers = releasedCount;
    setTimeout(() => this.#onDrained?.(), HANDOVER_TIMEOUT_MS);
  }
}
