/**
 * The system's own processes, as registered in the platform's store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../events/event_log.ts";
import { splitRevision } from "../external/store_revision.ts";
import type {
  StoreChanged,
  StoreItem,
  StoreLease,
  WatchedStore,
} from "../external/watched_store.ts";
import {
  type ListedProcess,
  PROCESS_SCHEMA,
} from "../messages/listed_process.ts";
import { Reachability } from "./reachability.ts";
import { StoreWatch } from "./store_watch.ts";

const PREFIX = "lagoonwharf/processes/";
/** Milliseconds after which the registration of a process that is gone expires. */
const TIME_TO_LIVE_MS = 25_000;
/**
 * Milliseconds between two renewals; two may be lost before the registration expires.
 * Every process renews, so renewals are most of the calls of a large fleet. A process
 * that is gone does no harm while it is still listed: connections to it just fail.
 */
const RENEW_INTERVAL_MS = 8000;
/**
 * The same interval after a failed renewal, because the registration may have expired
 * while the store was unavailable.
 */
const RETRY_RENEWAL_MS = 2500;
/** Milliseconds for which the store may hold a watch. */
const WATCH_WAIT_MS = 15_000;
/** Milliseconds to wait after a failed call. */
const RETRY_PAUSE_MS = 700;
/**
 * Milliseconds in which changes are collected before the next call. Without it, a start
 * of all processes would wake each process once for every other one.
 */
const GATHER_MS = 500;

/** Options of a {@link ProcessRegistry}. */
export interface ProcessRegistryOptions {
  readonly store: WatchedStore;
  readonly log: EventLog;
  readonly self: ListedProcess;
  /** Whether the other processes are followed from the start. */
  readonly followsOthers: boolean;
  /** Called with all processes whenever the list changes. */
  readonly onProcesses: (processes: readonly ListedProcess[]) => void;
}

/** Registers this process, and follows the other processes. */
export class ProcessRegistry {
  readonly #options: ProcessRegistryOptions;
  readonly #reachability: Reachability;
  readonly #processes = new Map<string, ListedProcess>();
  readonly #watch: StoreWatch;
  #lease: StoreLease | undefined;
  /** Revision of the store at which the list last changed. */
  #changedRevision = 0;
  #isStopped = false;
  /** Ends the pause before the next renewal. */
  #renewalPause = new AbortController();

  /** Makes no call yet. */
  constructor(options: ProcessRegistryOptions) {
    this.#options = options;
    this.#reachability = new Reachability("processes", options.log);
    options.store.onRestored(() => this.registerAgain());
    this.#watch = new StoreWatch({
      store: options.store,
      prefix: PREFIX,
      waitMs: WATCH_WAIT_MS,
      retryPauseMs: RETRY_PAUSE_MS,
      gatherMs: GATHER_MS,
      // The list is needed at once, to know which entries to query and which groups
      // exist.
      listsOnStart: true,
      reachability: this.#reachability,
      log: options.log,
      onListed: (items) => this.#applyListing(items),
      onChanged: (changed) => this.#applyChanges(changed),
    });
  }

  /** Revision of the store at which the list last changed. */
  get revision(): number {
    return this.#changedRevision;
  }

  /** All known processes, including this one. */
  get processes(): readonly ListedProcess[] {
    return [...this.#processes.values()];
  }

  /** Registers this process and keeps it registered. */
  start(): void {
    void this.#keepRegistered();
    if (this.#options.followsOthers) this.follow();
  }

  /** Starts following the other processes. */
  follow(): void {
    this.#watch.start();
  }

  /**
   * Registers this process again at once, because the store was restored from an older
   * copy. The lease is gone, and the store may have assigned its number to another
   * process.
   */
  registerAgain(): void {
    this.#lease = undefined;
    this.#renewalPause.abort();
  }

  /**
   * Aborts a watch that may never return, and lists the processes again. A connection may
   * have died unnoticed while other calls are answered or rejected.
   */
  refresh(): void {
    this.#watch.restart();
  }

  /** Sets whether another entry sends updates of the processes. */
  setFollowingReader(isFollowing: boolean): void {
    this.#watch.setFollowingReader(isFollowing);
  }

  /** Applies a list that another entry received, if it is newer. */
  offer(processes: readonly ListedProcess[], revision: number): void {
    if (revision <= this.#changedRevision) return;
    this.#processes.clear();
    for (const one of processes) this.#processes.set(PREFIX + one.name, one);
    this.#notify(revision, "entry");
  }

  /** Stops following, and removes the registration of this process. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#renewalPause.abort();
    this.#watch.stop();
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#options.store.release(lease);
  }

  async #keepRegistered(): Promise<void> {
    while (!this.#isStopped) {
      const isRegistered = await this.#renewOrRegister();
      await this.#pause(isRegistered ? RENEW_INTERVAL_MS : RETRY_RENEWAL_MS);
    }
  }

  /** Renews the lease, or registers this process. Returns whether that succeeded. */
  async #renewOrRegister(): Promise<boolean> {
    const { store, self } = this.#options;
    try {
      const isRenewed = this.#lease !== undefined &&
        await store.renew(this.#lease);
      if (isRenewed) return true;
      this.#lease = await store.register({
        key: PREFIX + self.name,
        value: JSON.stringify(self),
        timeToLiveMs: TIME_TO_LIVE_MS,
      });
      return true;
    } catch (error) {
      this.#reachability.recordFailure(performance.now(), error);
      return false;
    }
  }

  #applyListing(items: readonly StoreItem[]): void {
    const { revision } = this.#watch;
    const isRestored = this.#changedRevision > 0 &&
      splitRevision(revision).era > splitRevision(this.#changedRevision).era;
    if (isRestored) this.#scheduleRelisting();
    else this.#processes.clear();
    for (const item of items) this.#add(item);
    this.#notify(revision, "store");
  }

  /**
   * Schedules another listing after a restore of the store from an older copy. The copy
   * lacks processes until they register again; those that have not done so by then are
   * gone.
   */
  #scheduleRelisting(): void {
    setTimeout(() => this.#watch.restart(), TIME_TO_LIVE_MS).unref();
  }

  #applyChanges({ written, removed, revision }: StoreChanged): void {
    for (const key of removed) this.#processes.delete(key);
    for (const item of written) this.#add(item);
    this.#notify(revision, "store");
  }

  #add(item: StoreItem): void {
    const parsed = PROCESS_SCHEMA.safeParse(tryParseJson(item.value));
    if (parsed.success) this.#processes.set(item.key, parsed.data);
  }

  #notify(revision: number, source: string): void {
    const { processes } = this;
    this.#changedRevision = revision;
    this.#options.log.write("PROCESSES_CHANGED", {
      revision,
      source,
      entries: processes.filter(({ role }) => role === "entry").length,
      ranks: processes.filter(({ role }) => role === "rank").length,
    });
    this.#options.onProcesses(processes);
  }

  async #pause(milliseconds: number): Promise<void> {
    if (this.#isStopped) return;
    this.#renewalPause = new AbortController();
    const { signal } = this.#renewalPause;
    await sleep(milliseconds, undefined, { ref: false, signal })
      .catch(() => {/* The registry was stopped, or registers again. */});
  }
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
