/**
 * The system's own processes, as they list themselves in the platform's store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import type { EventLog } from "../events/event_log.ts";
import type {
  StoreItem,
  StoreLease,
  WatchedStore,
} from "../external/watched_store.ts";
import { Reachability } from "./reachability.ts";

const PREFIX = "lagoonwharf/processes/";
/** Milliseconds after which the entry of a process that is gone lapses. */
const TIME_TO_LIVE_MS = 8000;
/** Milliseconds between two renewals: two may be lost before the entry lapses. */
const RENEW_INTERVAL_MS = 2500;
/** Milliseconds for which the store may hold a watch. */
const WATCH_WAIT_MS = 15_000;
/** Pause after a call that failed, in milliseconds. */
const RETRY_PAUSE_MS = 700;
/**
 * Milliseconds in which changes are gathered before the next call. When all
 * processes start, each would wake all others: 111 of them made some 2,000 calls
 * within two seconds.
 */
const GATHER_MS = 500;

const PROCESS_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(["entry", "rank"]),
  address: z.string(),
  failureDomain: z.string(),
  /** The rank group of a rank's engine. */
  group: z.string().optional(),
  rank: z.number().int().optional(),
  /** Host and port at which that engine takes requests and orders. */
  engineAddress: z.string().optional(),
});

/** One of the system's own processes. */
export type ListedProcess = Readonly<z.infer<typeof PROCESS_SCHEMA>>;

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
  #lease: StoreLease | undefined;
  #revision = 0;
  #isFollowing = false;
  readonly #end = new AbortController();

  /** Does nothing yet. */
  constructor(options: ProcessRegistryOptions) {
    this.#options = options;
    this.#reachability = new Reachability("processes", options.log);
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
    if (this.#isFollowing) return;
    this.#isFollowing = true;
    void this.#follow();
  }

  /** Follows no more, and takes this process off the list. */
  async stop(): Promise<void> {
    this.#end.abort();
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#options.store.release(lease);
  }

  async #keepListed(): Promise<void> {
    while (!this.#end.signal.aborted) {
      await this.#renewOrRegister();
      await this.#pause(RENEW_INTERVAL_MS);
    }
  }

  async #renewOrRegister(): Promise<void> {
    const { store, self } = this.#options;
    try {
      const isKept = this.#lease !== undefined &&
        await store.renew(this.#lease);
      if (isKept) return;
      this.#lease = await store.register({
        key: PREFIX + self.name,
        value: JSON.stringify(self),
        timeToLiveMs: TIME_TO_LIVE_MS,
      });
    } catch (error) {
      this.#reachability.noteFailure(performance.now(), error);
    }
  }

  async #follow(): Promise<void> {
    let isCurrent = false;
    while (!this.#end.signal.aborted) {
      try {
        isCurrent = isCurrent ? await this.#watch() : await this.#list();
        this.#reachability.noteAnswer(performance.now());
      } catch (error) {
        isCurrent = false;
        if (this.#end.signal.aborted) return;
        this.#reachability.noteFailure(performance.now(), error);
        await this.#pause(RETRY_PAUSE_MS);
      }
    }
  }

  async #list(): Promise<boolean> {
    const listing = await this.#options.store.list(PREFIX);
    this.#revision = listing.revision;
    this.#processes.clear();
    for (const item of listing.items) this.#add(item);
    this.#tell();
    return true;
  }

  /** False when the store's history has a gap and all must be read again. */
  async #watch(): Promise<boolean> {
    const outcome = await this.#options.store.watch({
      prefix: PREFIX,
      afterRevision: this.#revision,
      waitMs: WATCH_WAIT_MS,
      signal: this.#end.signal,
    });
    if (outcome.kind === "history_lost") return false;
    this.#revision = outcome.revision;
    for (const key of outcome.removed) this.#processes.delete(key);
    for (const item of outcome.written) this.#add(item);
    if (outcome.removed.length + outcome.written.length > 0) {
      this.#tell();
      await this.#pause(GATHER_MS);
    }
    return true;
  }

  #add(item: StoreItem): void {
    const parsed = PROCESS_SCHEMA.safeParse(tryParseJson(item.value));
    if (parsed.success) this.#processes.set(item.key, parsed.data);
  }

  #tell(): void {
    const { processes } = this;
    this.#options.log.write("PROCESSES_CHANGED", {
      revision: this.#revision,
      entries: processes.filter(({ role }) => role === "entry").length,
      ranks: processes.filter(({ role }) => role === "rank").length,
    });
    this.#options.onProcesses(processes);
  }

  async #pause(milliseconds: number): Promise<void> {
    const { signal } = this.#end;
    await sleep(milliseconds, undefined, { ref: false, signal })
      .catch(() => {/* The registry was stopped. */});
  }
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
