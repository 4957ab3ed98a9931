/**
 * A wrapper around a store of the platform that counts calls by kind. The platform
 * charges for each call, so operators need to see which processes make them and why.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import {
  type LeasedRegistration,
  type StoreCallKind,
  type StoreLease,
  type StoreListing,
  type StoreWatchOptions,
  type StoreWatchOutcome,
  WatchedStore,
} from "../external/watched_store.ts";

/**
 * Milliseconds between two log lines with call counts. No line is written when no call
 * was made.
 */
const LOG_INTERVAL_MS = 20_000;

type CallCounts = Record<StoreCallKind | "failed", number>;

/** Options of a {@link CountedStore}. */
export interface CountedStoreOptions {
  readonly store: WatchedStore;
  readonly log: EventLog;
  /** Called for each call when it completes. An exception does not fail the call. */
  readonly onCall?: (kind: StoreCallKind, hasFailed: boolean) => void;
}

/** Counts calls and forwards them to another store. */
export class CountedStore extends WatchedStore {
  readonly #options: CountedStoreOptions;
  readonly #timer: NodeJS.Timeout;
  #counts = createCounts();

  /** Starts the timer that logs the counts. */
  constructor(options: CountedStoreOptions) {
    super();
    this.#options = options;
    this.#timer = setInterval(() => this.#logCounts(), LOG_INTERVAL_MS);
    this.#timer.unref();
  }

  override list(prefix: string): Promise<StoreListing> {
    return this.#count("list", this.#options.store.list(prefix));
  }

  override watch(options: StoreWatchOptions): Promise<StoreWatchOutcome> {
    return this.#count("watch", this.#options.store.watch(options));
  }

  override register(entry: LeasedRegistration): Promise<StoreLease> {
    return this.#count("register", this.#options.store.register(entry));
  }

  override renew(lease: StoreLease): Promise<boolean> {
    return this.#count("renew", this.#options.store.renew(lease));
  }

  override release(lease: StoreLease): Promise<void> {
    return this.#count("release", this.#options.store.release(lease));
  }

  override onRestored(listener: () => void): void {
    this.#options.store.onRestored(listener);
  }

  async #count<T>(kind: StoreCallKind, call: Promise<T>): Promise<T> {
    this.#counts[kind]++;
    try {
      const answer = await call;
      this.#report(kind, false);
      return answer;
    } catch (error) {
      this.#counts.failed++;
      this.#report(kind, true);
      throw error;
    }
  }

  #report(kind: StoreCallKind, hasFailed: boolean): void {
    const { log, onCall } = this.#options;
    tryHandle(log, `a ${kind} call`, () => onCall?.(kind, hasFailed));
  }

  #logCounts(): void {
    const counts = this.#counts;
    const isIdle = Object.values(counts).every((count) => count === 0);
    if (isIdle) return;
    this.#counts = createCounts();
    this.#options.log.write("STORE_CALLS", counts);
  }
}

function createCounts(): CallCounts {
  return { list: 0, watch: 0, register: 0, renew: 0, release: 0, failed: 0 };
}
