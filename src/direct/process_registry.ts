/**
 * The system's own processes, as they list themselves in the platform's store.
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
/** Milliseconds after which the entry of a process that is gone lapses. */
const TIME_TO_LIVE_MS = 25_000;
/**
 * Milliseconds between two renewals: two may be lost before the entry lapses. Each process
 * makes them, so they are most of the calls of a large fleet. A process that is gone does
 * no harm while it is listed: who dials it hears nothing.
 */
const RENEW_INTERVAL_MS = 8000;
/** The same after a renewal that failed: the entry may have lapsed with the store away. */
const RETRY_RENEWAL_MS = 2500;
/** Milliseconds for which the store may hold a watch. */
const WATCH_WAIT_MS = 15_000;
/** Pause after a call that failed, in milliseconds. */
const RETRY_PAUSE_MS = 700;
/**
 * Milliseconds in which changes are gathered before the next call. When all processes
 * start, each would wake all others.
 */
const GATHER_MS = 500;

/** Options of a {@link ProcessRegistry}. */
export interface ProcessRegistryOptions {
  readonly store: WatchedStore;
  readonly log: EventLog;
  readonly self: ListedProcess;
  /** Whether the other processes are followed from the start. */
  readonly follows: boolean;
  /** Called with all processes whenever the list changed. */
  readonly onProcesses: (processes: readonly ListedProcess[]) => void;
}

/** Lists this process, and follows the others. */
export class ProcessRegistry {
  readonly #options: ProcessRegistryOptions;
  readonly #reachability: Reachability;
  readonly #processes = new Map<string, ListedProcess>();
  readonly #watch: StoreWatch;
  #lease: StoreLease | undefined;
  /** Revision of the store at which the list last changed. */
  #changedAt = 0;
  #isStopped = false;
  /** Ends the pause before the next renewal. */
  #wake = new AbortController();

  /** Does nothing yet. */
  constructor(options: ProcessRegistryOptions) {
    this.#options = options;
    this.#reachability = new Reachability("processes", options.log);
    options.store.onWentBack(() => this.listAgain());
    this.#watch = new StoreWatch({
      store: options.store,
      prefix: PREFIX,
      waitMs: WATCH_WAIT_MS,
      retryPauseMs: RETRY_PAUSE_MS,
      gatherMs: GATHER_MS,
      // Who else there is tells at once whom to ask, and which groups there are.
      readsFirst: true,
      reachability: this.#reachability,
      onListed: (items) => this.#takeAll(items),
      onChanged: (changed) => this.#takeChanges(changed),
    });
  }

  /** Revision of the store at which the list last changed. */
  get revision(): number {
    return this.#changedAt;
  }

  /** The processes that were listed last, this one included. */
  get processes(): readonly ListedProcess[] {
    return [...this.#processes.values()];
  }

  /** Lists this process from now on. */
  start(): void {
    void this.#keepListed();
    if (this.#options.follows) this.follow();
  }

  /** Follows the other processes from now on. */
  follow(): void {
    this.#watch.start();
  }

  /**
   * The store has come back from an older copy: lists this process again at once. Its lease
   * is gone, and the store may have given the lease's number to another process.
   */
  listAgain(): void {
    this.#lease = undefined;
    this.#wake.abort();
  }

  /** Whether another entry tells the processes. */
  setLed(isLed: boolean): void {
    this.#watch.setLed(isLed);
  }

  /** Takes in what another entry heard, if it is newer. */
  offer(processes: readonly ListedProcess[], revision: number): void {
    if (revision <= this.#changedAt) return;
    this.#processes.clear();
    for (const one of processes) this.#processes.set(PREFIX + one.name, one);
    this.#tell(revision, "entry");
  }

  /** Follows no more, and takes this process off the list. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#wake.abort();
    this.#watch.stop();
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#options.store.release(lease);
  }

  async #keepListed(): Promise<void> {
    while (!this.#isStopped) {
      const isListed = await this.#renewOrRegister();
      await this.#pause(isListed ? RENEW_INTERVAL_MS : RETRY_RENEWAL_MS);
    }
  }

  /** Whether the store answered. */
  async #renewOrRegister(): Promise<boolean> {
    const { store, self } = this.#options;
    try {
      const isKept = this.#lease !== undefined &&
        await store.renew(this.#lease);
      if (isKept) return true;
      this.#lease = await store.register({
        key: PREFIX + self.name,
        value: JSON.stringify(self),
        timeToLiveMs: TIME_TO_LIVE_MS,
      });
      return true;
    } catch (error) {
      this.#reachability.noteFailure(performance.now(), error);
      return false;
    }
  }

  #takeAll(items: readonly StoreItem[]): void {
    const { revision } = this.#watch;
    const isKept = this.#changedAt > 0 &&
      splitRevision(revision).era > splitRevision(this.#changedAt).era;
    if (isKept) this.#readAnewLater();
    else this.#processes.clear();
    for (const item of items) this.#add(item);
    this.#tell(revision, "store");
  }

  /**
   * A store that came back from an older copy lacks processes until they list themselves
   * again. Those that have not by then are gone.
   */
  #readAnewLater(): void {
    setTimeout(() => this.#watch.restart(), TIME_TO_LIVE_MS).unref();
  }

  #takeChanges({ written, removed, revision }: StoreChanged): void {
    for (const key of removed) this.#processes.delete(key);
    for (const item of written) this.#add(item);
    this.#tell(revision, "store");
  }

  #add(item: StoreItem): void {
    const parsed = PROCESS_SCHEMA.safeParse(tryParseJson(item.value));
    if (parsed.success) this.#processes.set(item.key, parsed.data);
  }

  #tell(revision: number, source: string): void {
    const { processes } = this;
    this.#changedAt = revision;
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
    this.#wake = new AbortController();
    const { signal } = this.#wake;
    await sleep(milliseconds, undefined, { ref: false, signal })
      .catch(() => {/* The registry was stopped, or lists itself again. */});
  }
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
