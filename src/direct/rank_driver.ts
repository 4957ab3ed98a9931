/**
 * The process beside the engine of a rank: gives the engine the orders of its
 * group's decider, and beside rank 0 runs the decider.
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
import { ReceivedMap } from "../group/formed/map_changes.ts";
import { RankAgent, type ReportSender } from "../group/formed/rank_agent.ts";
import { SwitchRescuer } from "../group/formed/switch_rescuer.ts";
import {
  getHolderRank,
  type RankOrderMessage,
  type RankState,
} from "../messages/formed_group_types.ts";
import type { Link } from "../links/link.ts";
import { type LinkIdentity, LinkServer } from "../links/link_server.ts";
import type { Message } from "../messages/types.ts";
import { HttpListener } from "../process/http_listener.ts";
import { MeasuredTimer } from "../process/measured_timer.ts";
import type { RankProcessSettings } from "../process/process_settings.ts";
import type { Drainable } from "../process/shutdown.ts";
import { createTextPages } from "../process/text_pages.ts";
import { CountedStore } from "./counted_store.ts";
import { EntryAudience } from "./entry_audience.ts";
import type { ListedProcess } from "../messages/listed_process.ts";
import { ProcessRegistry } from "./process_registry.ts";
import { RankMetrics, type RankMetricsSource } from "./rank_metrics.ts";
import { SettingsFollower } from "./settings_follower.ts";

/** Milliseconds between two looks at the group that the engine belongs to. */
const LOOK_MS = 500;
/**
 * The same while entries hear from here whether the group runs: what an entry sends to a
 * lost group meanwhile costs each caller a second at a server that stands still. A look
 * takes the machine's own engine 1 ms and costs nothing.
 */
const HEARD_LOOK_MS = 100;
/** Milliseconds between two words to entries on a group that has not changed. */
const SIGHT_INTERVAL_MS = 500;
/** The same beside the holder, which looks whether its hold is left behind. */
const RESCUER_LOOK_MS = 100;

/**
 * Milliseconds until a decider reads the settings again. It needs what they say of its
 * group, which hardly changes. A watch brings each version with all routes, and some of
 * them fill the link of a small machine while the group waits for an order.
 */
const SETTINGS_REREAD_MS = 10_000;

const BYTES_PER_MEGABIT = 125_000;

/** What a {@link RankDriver} works with. */
export interface RankDriverOptions {
  readonly settings: RankProcessSettings;
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly engine: FormedEngine;
  /** Makes the way to the engine of another machine. */
  readonly createEngine: (address: string) => FormedEngine;
  readonly log: EventLog;
  readonly random: RandomSource;
}

/** A running process beside the engine of a rank. */
export class RankDriver implements Drainable {
  readonly #options: RankDriverOptions;
  readonly #store: WatchedStore;
  readonly #identity: LinkIdentity;
  readonly #agent: RankAgent;
  readonly #listener = new HttpListener();
  readonly #settings: SettingsFollower;
  #registry: ProcessRegistry | undefined;
  #decider: DeciderDriver | undefined;
  readonly #rescuer: SwitchRescuer;
  readonly #audience: EntryAudience;
  #state: RankState | undefined;
  #sightToldAt = Number.NEGATIVE_INFINITY;
  #stateReadAt: number | undefined;
  readonly #metrics: RankMetrics;
  readonly #metricsListener: HttpListener;
  readonly #timer: MeasuredTimer;

  /** Does not listen yet. */
  constructor(options: RankDriverOptions) {
    this.#options = options;
    const { settings, format, log } = options;
    this.#metrics = new RankMetrics(() => this.#readMetrics(), log);
    this.#timer = new MeasuredTimer(this.#metrics.loopDelays);
    this.#metricsListener = new HttpListener(
      createTextPages(this.#metrics.pages),
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
    this.#audience = new EntryAudience(this.#linkBytesPerSecond);
    this.#agent = new RankAgent(options.engine);
    this.#rescuer = new SwitchRescuer({
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
      rereadMs: SETTINGS_REREAD_MS,
      // They are read when a map is planned.
      onSettings: () => undefined,
    });
  }

  /** Requests never pass through this process. */
  get inFlight(): number {
    return 0;
  }

  /**
   * Listens for the decider, and looks which group the engine belongs to.
   *
   * @throws when the address cannot be had
   */
  async start(): Promise<void> {
    const { settings, log } = this.#options;
    new LinkServer(this.#listener.server, {
      identity: this.#identity,
      welcome: { pool: settings.pool, concurrency: 1 },
      listener: {
        onPeer: (link, hello) => {
          if (hello.role === "entry") this.#addEntry(link);
          const received = new ReceivedMap();
          return {
            onMessage: (message) => this.#onMessage(link, message, received),
            // Whoever dialled dials again.
            onClose: () => this.#audience.remove(link),
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
    await this.#lookAndWait();
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
      entriesHeard: this.#audience.size,
      stateAgeMs: readAt && performance.now() - readAt,
      isDecider: this.#decider !== undefined,
    };
  }

  /** The next look tells it how the group stands. */
  #addEntry(link: Link): void {
    this.#audience.add(link);
    this.#sightToldAt = Number.NEGATIVE_INFINITY;
  }

  async close(): Promise<void> {
    this.#timer.stop();
    this.#decider?.stop();
    this.#rescuer.stop();
    this.#settings.stop();
    this.#listener.close();
    this.#metricsListener.close();
    await this.#registry?.stop();
  }

  async #lookAndWait(): Promise<void> {
    await this.#look();
    this.#timer.plan(() => void this.#lookAndWait(), this.#lookMs());
  }

  #lookMs(): number {
    if (isHolder(this.#state)) return RESCUER_LOOK_MS;
    return this.#audience.size > 0 ? HEARD_LOOK_MS : LOOK_MS;
  }

  async #look(): Promise<void> {
    const state = await this.#tryReadState();
    if (state === undefined) return;
    const before = this.#state;
    this.#state = state;
    this.#stateReadAt = performance.now();
    const isElsewhere = before?.group !== state.group ||
      before.rank !== state.rank;
    if (isElsewhere) this.#register(state);
    const hasChanged = isElsewhere || before.isOpen !== state.isOpen;
    this.#tellSight(state, hasChanged);
    if (isHolder(state)) this.#rescuer.observe(state, performance.now());
    if (state.rank === 0) return this.#startDecider(state);
    this.#stopDecider();
  }

  /** Told at once when it changed, and now and then to those who missed it. */
  #tellSight({ group, isOpen }: RankState, hasChanged: boolean): void {
    const now = performance.now();
    if (!hasChanged && now - this.#sightToldAt < SIGHT_INTERVAL_MS) return;
    this.#sightToldAt = now;
    this.#audience.tellSight({ kind: "group_sight", group, isOpen, ageMs: 0 });
  }

  async #tryReadState(): Promise<RankState | undefined> {
    try {
      return await this.#options.engine.tryReadState();
    } catch {
      // An engine that starts or stops does not answer; the next look tells.
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
      follows: rank === 0 || isHolder(state),
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
      onLoad: (load) => this.#audience.tellLoad(load, performance.now()),
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
    this.#rescuer.setMembers(addresses);
  }

  #onMessage(link: Link, message: Message, received: ReceivedMap): void {
    const send = (report: Message) => link.send(report);
    if (message.kind === "rank_query") {
      this.#agent.answer(message, send).catch((error) => this.#fault(error));
    }
    if (message.kind === "rank_report") this.#rescuer.note(message);
    if (message.kind === "rank_check") {
      this.#agent.check(message, send).catch((error) => this.#fault(error));
    }
    if (message.kind === "rank_order") {
      if (message.order.kind === "prepare") received.note(message.order.map);
      this.#carryOut(message, send);
    }
    if (message.kind === "map_base") received.note(message.map);
    if (message.kind === "map_change") {
      const order = received.tryDecode(message);
      // The decider dials again, and sends the next map whole.
      if (order === undefined) return link.close("UNEXPECTED_MESSAGE");
      this.#carryOut(order, send);
    }
  }

  #carryOut(message: RankOrderMessage, send: ReportSender): void {
    this.#agent.carryOut(message, send).catch((error) => this.#fault(error));
  }

  #fault(error: unknown): void {
    this.#options.log.write("ENGINE_UNREACHABLE", { cause: String(error) });
  }
}

/** Whether the process is beside the rank that holds the passes of switches. */
function isHolder(state: RankState | undefined): boolean {
  return state !== undefined && state.rank === getHolderRank(state.ranks);
}
