/**
 * Runs an entry that calls back ends directly: it follows settings and back ends in the
 * platform's store, and needs no target process.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { RandomSource } from "../core/random_source.ts";
import type { CallerProtocol } from "../entry/caller_protocol.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { ListedRank } from "../entry/types.ts";
import { RequestServer } from "../entry/request_server.ts";
import type { EventLog } from "../events/event_log.ts";
import type { BackEnd } from "../external/back_end.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type {
  OperatorSettings,
  StoreFormat,
} from "../external/operator_settings.ts";
import type { WatchedStore } from "../external/watched_store.ts";
import type { HttpListener } from "../process/http_listener.ts";
import { Metrics } from "../process/metrics.ts";
import type { DirectEntryProcessSettings } from "../process/process_settings.ts";
import type { Drainable } from "../process/shutdown.ts";
import type { TextPage } from "../process/text_pages.ts";
import { CountedStore } from "./counted_store.ts";
import { type Directory, DirectoryFollower } from "./directory_follower.ts";
import { DrainFollower } from "./drain_follower.ts";
import { DirectTargetPool } from "./direct_target_pool.ts";
import { GroupLoadFollower } from "./group_load_follower.ts";
import { createPageListener } from "./page_listener.ts";
import { EntryPeers } from "./peers/entry_peers.ts";
import type { ListedProcess } from "../messages/listed_process.ts";
import { ProcessRegistry } from "./process_registry.ts";
import { readReducerGauges } from "./reducer_gauges.ts";
import { createReplicatedState } from "./reducer_replicated_state.ts";
import { SettingsFollower } from "./settings_follower.ts";
import { SettingsRoutes } from "./settings_routes.ts";

/**
 * Milliseconds for which a process that is shutting down still accepts new connections.
 * The load balancer in front of it polls readiness once a second and removes the process
 * after two failed polls.
 */
const UNREADY_BEFORE_CLOSING_MS = 3200;
/**
 * Milliseconds that idle connections stay open beyond the idle limit promised to callers,
 * so that a request in flight does not meet a closed connection.
 */
const IDLE_MARGIN_MS = 2000;
/**
 * Maximum duration of a settings watch, as a fraction of the time for which a leaving
 * back end may still receive requests. Entries that follow this one reject settings that
 * are too old, so the watch has to return before that.
 */
const SETTINGS_WATCH_FRACTION = 0.5;
/**
 * Maximum time in milliseconds that requests wait, after this process was frozen, for an
 * answer from the store or from other entries.
 */
const CATCH_UP_LIMIT_MS = 1000;

/** Options of a {@link DirectEntryDriver}. */
export interface DirectEntryDriverOptions {
  readonly settings: DirectEntryProcessSettings;
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly protocol: CallerProtocol;
  readonly createBackEnd: (instance: BackEndInstance) => BackEnd;
  readonly log: EventLog;
  /** Seed of all random choices. */
  readonly seed: number;
}

/** A running entry that calls back ends directly. */
export class DirectEntryDriver implements Drainable {
  readonly #options: DirectEntryDriverOptions;
  readonly #reducer: EntryReducer;
  readonly #server: RequestServer;
  readonly #targets: DirectTargetPool;
  readonly #drains: DrainFollower;
  readonly #settings: SettingsFollower;
  readonly #routes = new SettingsRoutes();
  readonly #directory: DirectoryFollower;
  readonly #registry: ProcessRegistry;
  readonly #groupLoads: GroupLoadFollower;
  readonly #peers: EntryPeers;
  readonly #metrics: Metrics;
  readonly #health: HttpListener;
  readonly #metricsPage: HttpListener;
  #isDraining = false;

  /** Creates the parts of the entry. {@link start} opens the listeners. */
  constructor(options: DirectEntryDriverOptions) {
    this.#options = options;
    const { settings, format, log } = options;
    const store = new CountedStore({
      store: options.store,
      log,
      onCall: (kind, hasFailed) =>
        this.#metrics.countStoreCall(kind, hasFailed),
    });
    this.#reducer = new EntryReducer({
      failureDomain: settings.failureDomain,
      entryName: settings.name,
      random: new RandomSource(options.seed),
      digestKey: settings.secret,
      poolRetries: settings.poolRetries,
    });
    this.#metrics = new Metrics(() => ({
      inFlight: this.inFlight,
      queued: 0,
      settingsRevision: this.#settings.inUse?.settings.version ?? 0,
      olderOffers: 0,
      ...readReducerGauges(this.#reducer, performance.now()),
    }), log);
    this.#server = new RequestServer({
      reducer: this.#reducer,
      protocol: options.protocol,
      metrics: this.#metrics,
      log,
      heldBytesLimit: settings.heldBytesLimit,
      descriptorLimit: settings.descriptorLimit,
      onStalled: () => this.#catchUp(),
      onReplicatedStateChanged: () => this.#peers.onReplicatedStateChanged(),
      onPermitsRequested: (request) => this.#peers.requestPermits(request),
    });
    this.#targets = new DirectTargetPool({
      createBackEnd: options.createBackEnd,
      log,
      onMessage: (targetName, message) =>
        this.#server.dispatch({
          kind: "message_received",
          now: performance.now(),
          targetName,
          message,
        }),
      mayBegin: (targetName) =>
        this.#reducer.mayBegin(targetName, performance.now()),
    });
    this.#drains = new DrainFollower({
      format,
      log,
      onDrains: (failureDomains) => this.#onDrains(failureDomains),
    });
    this.#settings = new SettingsFollower({
      store,
      format,
      log,
      drains: this.#drains,
      watchWaitMs: settings.leavingLimitMs * SETTINGS_WATCH_FRACTION,
      onSettings: (inForce) => this.#onSettings(inForce),
    });
    this.#directory = new DirectoryFollower({
      store,
      format,
      log,
      isKnownPool: (pool) =>
        this.#settings.inUse?.settings.pools.has(pool) ?? true,
      isColdPool: (pool) =>
        this.#reducer.warmUp.limits.tryGetPool(pool) !== undefined,
      onDirectory: (directory) => this.#onDirectory(directory),
      onListed: (directory) => this.#peers.onStoreListed(directory),
      // An entry that gets its back ends from another entry rarely calls the store
      // itself, so its own calls would not detect that the store was restored.
      onStoreRestored: () => this.#registry.registerAgain(),
      onListFailed: () => {
        this.#settings.restart();
        this.#registry.refresh();
        this.#peers.onStoreUnavailable();
      },
    });
    const self = {
      name: settings.name,
      address: settings.peerAddress,
      failureDomain: settings.failureDomain,
    };
    this.#registry = new ProcessRegistry({
      store,
      log,
      self: { role: "entry", ...self },
      followsOthers: true,
      onProcesses: (processes) => this.#onProcesses(processes),
    });
    const identity = {
      deployment: settings.deployment,
      secret: settings.secret,
      name: settings.name,
      incarnation: randomUUID(),
      failureDomain: settings.failureDomain,
    };
    this.#peers = new EntryPeers({
      identity,
      self,
      seedAddresses: settings.seedAddresses,
      random: new RandomSource(options.seed),
      log,
      leavingLimitMs: settings.leavingLimitMs,
      getStoreState: () => ({
        isReading: this.#peers.isFollowingReader || this.#directory.isReached,
        settings: this.#settings.inUse,
        settingsCheckedAt: this.#settings.checkedAt,
        drains: this.#drains.stored,
        directory: this.#directory.directory,
        processes: {
          revision: this.#registry.revision,
          processes: this.#registry.processes,
        },
      }),
      replicatedState: createReplicatedState(
        this.#reducer,
        (event) => this.#server.dispatch(event),
      ),
      issuePermits: (target, count) =>
        this.#reducer.permits.issue(target, count, performance.now()),
      onPermits: (outcome) =>
        this.#server.dispatch({
          kind: "permits_told",
          now: performance.now(),
          outcome,
        }),
      onDrains: (drains, ageMs) => this.#drains.offer(drains, ageMs),
      onSettings: (text) => void this.#settings.offer(text, "entry"),
      onSettingsChecked: (checkedAt) => this.#settings.recordCheck(checkedAt),
      onDirectory: (directory) => this.#directory.offer(directory),
      onProcesses: ({ processes, revision }) =>
        this.#registry.offer(processes, revision),
      onListDue: () => void this.#directory.list(),
      onFollowingReaderChanged: (isFollowing) => {
        this.#settings.setFollowingReader(isFollowing);
        this.#registry.setFollowingReader(isFollowing);
      },
    });
    this.#groupLoads = new GroupLoadFollower({
      identity,
      log,
      onLoad: (load) =>
        this.#server.dispatch({
          kind: "group_load_told",
          now: performance.now(),
          load,
        }),
      onObservation: (observation) =>
        this.#server.dispatch({
          kind: "group_seen",
          now: performance.now(),
          observation,
        }),
    });
    const { pages } = this.#metrics;
    this.#metricsPage = createPageListener("metrics", pages, log);
    this.#health = createPageListener(
      "ready",
      { ...pages, "/ready": () => this.#readyPage() },
      log,
    );
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#reducer.inFlight;
  }

  /**
   * Opens the listeners and starts following the store.
   *
   * @throws when an address is not available
   */
  async start(): Promise<void> {
    const { settings, log } = this.#options;
    this.#server.setLinks(this.#targets);
    await this.#health.listen(settings.readyAddress);
    if (settings.metricsAddress !== undefined) {
      await this.#metricsPage.listen(settings.metricsAddress);
    }
    await this.#peers.listen();
    await this.#server.listen(settings.callerAddress);
    this.#peers.start();
    this.#settings.start();
    this.#registry.start();
    log.write("STARTED", {
      callers: settings.callerAddress,
      store: settings.storeAddress,
    });
  }

  /** Applies the settings that may change while the process runs. */
  reload(settings: DirectEntryProcessSettings): void {
    this.#server.dispatch({
      kind: "pool_retries_limited",
      limits: settings.poolRetries,
    });
  }

  drain(onDrained: () => void, limitMs: number): void {
    this.#isDraining = true;
    this.#server.startClosing(limitMs);
    setTimeout(
      () => this.#server.drain(onDrained),
      UNREADY_BEFORE_CLOSING_MS,
    );
  }

  async close(): Promise<void> {
    this.#settings.stop();
    this.#drains.stop();
    this.#groupLoads.stop();
    this.#peers.close();
    this.#server.close();
    this.#targets.close();
    this.#health.close();
    this.#metricsPage.close();
    await this.#registry.stop();
  }

  #onDrains(failureDomains: readonly string[]): void {
    this.#metrics.setDrainedDomains(failureDomains.length);
    this.#server.dispatch({
      kind: "failure_domains_drained",
      now: performance.now(),
      failureDomains,
    });
    this.#peers.onStoreStateChanged();
  }

  #onSettings(settings: OperatorSettings): void {
    this.#peers.onStoreStateChanged();
    this.#metrics.countInvalidFields(settings.findings?.length ?? 0);
    const { routes, changed } = this.#routes.apply(settings.documents);
    const { callerLimits } = settings;
    this.#server.setCallerLimits({
      ...callerLimits,
      idleLimitMs: callerLimits.idleLimitMs + IDLE_MARGIN_MS,
    });
    this.#server.dispatch({
      kind: "settings_in_force",
      now: performance.now(),
      routes,
      changed,
      coldPools: settings.coldPools,
      groups: settings.groups,
    });
  }

  #onDirectory(directory: Directory): void {
    const instances = this.#targets.setInstances(directory.instances);
    this.#server.dispatch({
      kind: "instances_listed",
      now: performance.now(),
      instances,
      requestedAt: directory.askedAt,
    });
  }

  #onProcesses(processes: readonly ListedProcess[]): void {
    const entries = processes.filter(({ role }) => role === "entry");
    this.#peers.setListed(entries);
    this.#server.dispatch({
      kind: "entries_listed",
      now: performance.now(),
      entries: entries.map(({ name }) => name),
    });
    this.#server.dispatch({ kind: "ranks_listed", ranks: ranksOf(processes) });
    this.#groupLoads.setProcesses(processes);
  }

  /**
   * Refreshes settings and back ends after this process was frozen, since back ends may
   * have left in the meantime.
   */
  async #catchUp(): Promise<void> {
    this.#settings.restart();
    this.#peers.invalidateReader();
    const limit = new Promise<void>((resolve) => {
      setTimeout(resolve, CATCH_UP_LIMIT_MS);
    });
    await Promise.race([this.#refreshFromStoreOrPeers(), limit]);
  }

  async #refreshFromStoreOrPeers(): Promise<void> {
    await this.#directory.list();
    if (!this.#directory.isReached) await this.#peers.nextAnswer();
  }

  #isReady(): boolean {
    return !this.#isDraining && this.#settings.inUse !== undefined &&
      this.#directory.directory !== undefined;
  }

  #readyPage(): TextPage {
    return this.#isReady()
      ? { status: 200, text: "ready\n" }
      : { status: 503, text: "not ready\n" };
  }
}

function ranksOf(
  processes: readonly ListedProcess[],
): readonly ListedRank[] {
  return processes.flatMap(({ engineAddress, group }) =>
    engineAddress === undefined || group === undefined
      ? []
      : [{ engineAddress, group }]
  );
}
