/**
 * The sidecar of a rank's engine: passes the orders of the group's decider to the engine
 * and, at rank 0, runs the decider.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { RandomSource } from "../core/random_source.ts";
import type { EventLog } from "../events/event_log.ts";
import type { FormedEngine } from "../external/formed_engine.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import type { WatchedStore } from "../external/watched_store.ts";
import { DeciderDriver } from "../group/formed/decider_driver.ts";
import { logEngineFault } from "../group/formed/engine_faults.ts";
import { MapDecoder } from "../group/formed/map_changes.ts";
import { RankAgent, type ReportSender } from "../group/formed/rank_agent.ts";
import { SwitchRecovery } from "../group/formed/switch_recovery.ts";
import {
  getHolderRank,
  type RankOrderMessage,
  type RankState,
} from "../messages/formed_group_types.ts";
import type { Link } from "../links/link.ts";
import {
  LINK_LISTENER_OPTIONS,
  type LinkIdentity,
  LinkServer,
} from "../links/link_server.ts";
import type { Message } from "../messages/types.ts";
import { HttpListener } from "../process/http_listener.ts";
import { MeasuredTimer } from "../process/measured_timer.ts";
import type { RankProcessSettings } from "../process/process_settings.ts";
import type { Drainable } from "../process/shutdown.ts";
import { CountedStore } from "./counted_store.ts";
import { EntrySubscribers } from "./entry_subscribers.ts";
import { createPageListener } from "./page_listener.ts";
import type { ListedProcess } from "../messages/listed_process.ts";
import { ProcessRegistry } from "./process_registry.ts";
import { RankMetrics, type RankMetricsSource } from "./rank_metrics.ts";
import { SettingsFollower } from "./settings_follower.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** Milliseconds between two polls of the engine for the group that it belongs to. */
const POLL_INTERVAL_MS = 500;
/**
 * The same interval while entries are subscribed to this process. Each request that an
 * entry sends to a lost group in the meantime waits a second for a frozen server. A poll
 * takes the local engine 1 ms and, unlike a call to the store, is not charged for.
 */
const SUBSCRIBED_POLL_INTERVAL_MS = 100;
/**
 * Milliseconds between two observations sent to entries while the group has not changed.
 */
const OBSERVATION_INTERVAL_MS = 500;
/**
 * The poll interval at the holder of passes, which checks whether its hold was left
 * behind by an interrupted switch.
 */
const HOLDER_POLL_INTERVAL_MS = 100;

/**
 * Milliseconds after which a decider reads the settings again. It only needs the settings
 * of its group, which hardly change. A watch would return every version with all routes,
 * and large versions would fill the link of a small VM while the group waits for an
 * order.
 */
const SETTINGS_REREAD_MS = 10_000;

const BYTES_PER_MEGABIT = 125_000;

/** Options of a {@link RankDriver}. */
export interface RankDriverOptions {
  readonly settings: RankProcessSettings;
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly engine: FormedEngine;
  /** Creates the client for the engine of another VM. */
  readonly createEngine: (address: SocketAddress) => FormedEngine;
  readonly log: EventLog;
  readonly random: RandomSource;
}

/** A running sidecar of a rank's engine. */
export class RankDriver implements Drainable {
  readonly #options: RankDriverOptions;
  readonly #store: WatchedStore;
  readonly #identity: LinkIdentity;
  readonly #agent: RankAgent;
  readonly #listener = new HttpListener(undefined, LINK_LISTENER_OPTIONS);
  readonly #settings: SettingsFollower;
  #registry: ProcessRegistry | undefined;
  #decider: DeciderDriver | undefined;
  readonly #switchRecovery: SwitchRecovery;
  readonly #subscribers: EntrySubscribers;
  #state: RankState | undefined;
  #observationSentAt = Number.NEGATIVE_INFINITY;
  #stateReadAt: number | undefined;
  readonly #metrics: RankMetrics;
  readonly #metricsListener: HttpListener;
  readonly #timer: MeasuredTimer;

  /** Creates the parts of the sidecar. {@link start} opens the listeners. */
  constructor(options: RankDriverOptions) {
    this.#options = options;
    const { settings, format, log } = options;
    this.#metrics = new RankMetrics(() => this.#readMetrics(), log);
    this.#timer = new MeasuredTimer(this.#metrics.loopDelays);
    this.#metricsListener = createPageListener(
      "metrics",
      this.#metrics.pages,
      log,
    );
    const store = new CountedStore({
      store: options.store,
      log,
      onCall: (kind, hasFailed) =>
        this.#metrics.countStoreCall(kind, hasFailed),
    });
    this.#store = store;
    this.#identity = {
      deployment: settings.deployment,
      secret: settings.secret,
      name: settings.name,
      incarnation: randomUUID(),
      failureDomain: settings.failureDomain,
    };
    this.#subscribers = new EntrySubscribers(this.#linkBytesPerSecond);
    this.#agent = new RankAgent(options.engine);
    this.#switchRecovery = new SwitchRecovery({
      identity: this.#identity,
      random: options.random,
      log,
      agent: this.#agent,
      createEngine: options.createEngine,
    });
    this.#settings = new SettingsFollower({
      store,
      format,
      log,
      rereadIntervalMs: SETTINGS_REREAD_MS,
      // The settings are read whenever a map is planned.
      onSettings: () => undefined,
    });
  }

  /** Always zero, since requests never pass through this process. */
  get inFlight(): number {
    return 0;
  }

  /**
   * Listens for the decider, and reads which group the engine belongs to.
   *
   * @throws when the address is not available
   */
  async start(): Promise<void> {
    const { settings, log } = this.#options;
    new LinkServer(this.#listener.server, {
      identity: this.#identity,
      log,
      welcome: { pool: settings.pool, concurrency: 1 },
      listener: {
        onPeer: (link, hello) => {
          if (hello.role === "entry") this.#addEntry(link);
          const received = new MapDecoder();
          return {
            onMessage: (message) => this.#onMessage(link, message, received),
            // The other process reconnects by itself.
            onClose: () => this.#subscribers.remove(link),
          };
        },
        onRejected: (fault) => {
          if (fault !== undefined) log.write("LINK_FAULT", { fault });
        },
      },
    });
    await this.#listener.listen(settings.peerAddress);
    if (settings.metricsAddress !== undefined) {
      await this.#metricsListener.listen(settings.metricsAddress);
    }
    log.write("STARTED", {
      engine: settings.engineAddress,
      store: settings.storeAddress,
    });
    await this.#pollAndSchedule();
  }

  drain(onDrained: () => void): void {
    onDrained();
  }

  get #linkBytesPerSecond(): number {
    const { linkMegabitsPerSecond } = this.#options.settings;
    return linkMegabitsPerSecond * BYTES_PER_MEGABIT;
  }

  #readMetrics(): RankMetricsSource {
    const readAt = this.#stateReadAt;
    return {
      subscribedEntries: this.#subscribers.size,
      stateAgeMs: readAt && performance.now() - readAt,
      isDecider: this.#decider !== undefined,
    };
  }

  /** Adds an entry, which receives an observation of the group after the next poll. */
  #addEntry(link: Link): void {
    this.#subscribers.add(link);
    this.#observationSentAt = Number.NEGATIVE_INFINITY;
  }

  async close(): Promise<void> {
    this.#timer.stop();
    this.#decider?.stop();
    this.#switchRecovery.stop();
    this.#settings.stop();
    this.#listener.close();
    this.#metricsListener.close();
    await this.#registry?.stop();
  }

  async #pollAndSchedule(): Promise<void> {
    await this.#pollEngine();
    this.#timer.schedule(
      () => void this.#pollAndSchedule(),
      this.#getPollIntervalMs(),
    );
  }

  #getPollIntervalMs(): number {
    if (isHolder(this.#state)) return HOLDER_POLL_INTERVAL_MS;
    return this.#subscribers.size > 0
      ? SUBSCRIBED_POLL_INTERVAL_MS
      : POLL_INTERVAL_MS;
  }

  async #pollEngine(): Promise<void> {
    const state = await this.#tryReadState();
    if (state === undefined) return;
    const before = this.#state;
    this.#state = state;
    this.#stateReadAt = performance.now();
    const hasMoved = before?.group !== state.group ||
      before.rank !== state.rank;
    if (hasMoved) this.#register(state);
    const hasChanged = hasMoved || before.isOpen !== state.isOpen;
    this.#sendObservation(state, hasChanged);
    if (isHolder(state)) this.#switchRecovery.observe(state, performance.now());
    if (state.rank === 0) return this.#startDecider(state);
    this.#stopDecider();
  }

  /**
   * Sends an observation at once after a change, and otherwise at intervals, for entries
   * that missed it.
   */
  #sendObservation({ group, isOpen }: RankState, hasChanged: boolean): void {
    const now = performance.now();
    if (
      !hasChanged && now - this.#observationSentAt < OBSERVATION_INTERVAL_MS
    ) return;
    this.#observationSentAt = now;
    this.#subscribers.sendObservation({
      kind: "group_sight",
      group,
      isOpen,
      ageMs: 0,
    });
  }

  async #tryReadState(): Promise<RankState | undefined> {
    try {
      return await this.#options.engine.tryReadState();
    } catch {
      // An engine that starts or stops does not answer; the next poll reads its state.
      return undefined;
    }
  }

  #register(state: RankState): void {
    const { group, rank } = state;
    const { log, settings } = this.#options;
    void this.#registry?.stop();
    this.#registry = new ProcessRegistry({
      store: this.#store,
      log,
      self: {
        name: settings.name,
        role: "rank",
        address: settings.peerAddress,
        failureDomain: settings.failureDomain,
        group,
        rank,
        engineAddress: settings.engineAddress,
      },
      followsOthers: rank === 0 || isHolder(state),
      onProcesses: (processes) => this.#onProcesses(processes),
    });
    this.#registry.start();
  }

  #startDecider(state: RankState): void {
    if (this.#decider !== undefined) return;
    const { log, random, settings } = this.#options;
    this.#settings.start();
    this.#decider = new DeciderDriver({
      identity: this.#identity,
      state,
      random,
      log,
      createEngine: this.#options.createEngine,
      pool: settings.pool,
      linkBytesPerSecond: this.#linkBytesPerSecond,
      onLoad: (load) => this.#subscribers.sendLoad(load, performance.now()),
      trySettings: () =>
        this.#settings.inUse?.settings.groups.get(settings.pool),
    });
    this.#registry?.follow();
    this.#onProcesses(this.#registry?.processes ?? []);
  }

  #stopDecider(): void {
    this.#decider?.stop();
    this.#decider = undefined;
  }

  #onProcesses(processes: readonly ListedProcess[]): void {
    const group = this.#state?.group;
    const members = processes.filter((one) =>
      one.role === "rank" && one.group === group
    );
    const addresses = members.flatMap(({ address, engineAddress, rank }) =>
      engineAddress === undefined || rank === undefined
        ? []
        : [{ address, engineAddress, rank }]
    );
    this.#decider?.setMembers(addresses);
    this.#switchRecovery.setMembers(addresses);
  }

  #onMessage(link: Link, message: Message, received: MapDecoder): void {
    const send = (report: Message) => link.send(report);
    if (message.kind === "rank_query") {
      this.#agent.answer(message, send).catch((error) =>
        this.#logEngineFault(error)
      );
    }
    if (message.kind === "rank_report") {
      this.#switchRecovery.recordArmed(message);
    }
    if (message.kind === "rank_check") {
      this.#agent.check(message, send).catch((error) =>
        this.#logEngineFault(error)
      );
    }
    if (message.kind === "rank_order") {
      if (message.order.kind === "prepare") received.record(message.order.map);
      this.#execute(message, send);
    }
    if (message.kind === "map_base") received.record(message.map);
    if (message.kind === "map_change") {
      const order = received.tryDecode(message);
      // The decider reconnects and sends the next map in full.
      if (order === undefined) return link.close("UNEXPECTED_MESSAGE");
      this.#execute(order, send);
    }
  }

  #execute(message: RankOrderMessage, send: ReportSender): void {
    this.#agent.execute(message, send).catch((error) =>
      this.#logEngineFault(error)
    );
  }

  #logEngineFault(error: unknown): void {
    logEngineFault(this.#options.log, error);
  }
}

/** Whether this is the sidecar of the rank that holds the passes of switches. */
function isHolder(state: RankState | undefined): boolean {
  return state !== undefined && state.rank === getHolderRank(state.ranks);
}
