/**
 * Follows all keys below a prefix of the platform's store: lists them once, then watches,
 * and lists again when the store no longer has all changes.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type {
  StoreChanged,
  StoreItem,
  StoreListing,
  StoreWatchOutcome,
  WatchedStore,
} from "../external/watched_store.ts";
import type { Reachability } from "./reachability.ts";

/**
 * Milliseconds without a reader before a watch begins. A failed reader is usually
 * replaced by the next one within that time, and each change between following and
 * watching costs four calls.
 */
const READER_LOSS_DELAY_MS = 1000;

/** Maximum number of times that the pause after failed calls is doubled. */
const MAX_PAUSE_DOUBLINGS = 2;

/** Options of a {@link StoreWatch}. */
export interface StoreWatchOptions {
  readonly store: WatchedStore;
  readonly prefix: string;
  /**
   * Maximum duration of a watch in milliseconds. Without changes, one call is made in
   * that time.
   */
  readonly waitMs: number;
  /** Milliseconds to wait after a failed call. */
  readonly retryPauseMs: number;
  /** Milliseconds in which changes are collected before the next call. */
  readonly gatherMs?: number;
  /**
   * Milliseconds after which all keys are listed again; undefined: changes are watched.
   */
  readonly rereadIntervalMs?: number;
  /** Whether all keys are listed once at the start, even while a reader is followed. */
  readonly listsOnStart?: boolean;
  /** Whether all keys are listed at once when the reader is lost. */
  readonly listsOnReaderLoss?: boolean;
  readonly reachability: Reachability;
  readonly log: EventLog;
  /**
   * Called with all keys after a listing. An exception is logged as an error of this
   * program; the store is followed on.
   */
  readonly onListed: (items: readonly StoreItem[]) => void;
  /** Called when keys were written or removed; exceptions as in `onListed`. */
  readonly onChanged: (changed: StoreChanged) => void;
}

/** All keys. */
interface Listed {
  readonly kind: "listed";
  readonly listing: StoreListing;
}

/** The keys are due to be listed again. */
interface RereadDue {
  readonly kind: "reread_due";
}

/** What a call to the store returned. */
type ReadOutcome = Listed | RereadDue | StoreWatchOutcome;

/** Follows all keys below a prefix. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  #revision = 0;
  #checkedAt = Number.NEGATIVE_INFINITY;
  #abortController = new AbortController();
  #isStarted = false;
  #isStopped = false;
  #isFollowingReader = false;
  /** Number of failed calls in a row. */
  #failures = 0;
  /** Ends the wait for the loss of the reader. */
  #wake: (() => void) | undefined;

  /** Makes no call yet. */
  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Revision of the store up to which all changes are known. */
  get revision(): number {
    return this.#revision;
  }

  /** When the last answered call was made, in milliseconds. */
  get checkedAt(): number {
    return this.#checkedAt;
  }

  /** Starts following the keys. */
  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    void this.#follow();
  }

  /** Stops following the keys. */
  stop(): void {
    this.#isStopped = true;
    this.#abortController.abort();
    this.#wake?.();
  }

  /**
   * Aborts a watch that may never return, and lists the keys again. A connection may have
   * died unnoticed while other calls are answered or rejected.
   */
  restart(): void {
    this.#abortController.abort();
  }

  /**
   * Sets whether another process sends the changes, so that the store need not be called.
   */
  setFollowingReader(isFollowing: boolean): void {
    if (isFollowing === this.#isFollowingReader) return;
    this.#isFollowingReader = isFollowing;
    if (isFollowing) this.#abortController.abort();
    else this.#wake?.();
  }

  async #follow(): Promise<void> {
    const { listsOnStart } = this.#options;
    let isCurrent = listsOnStart === true && await this.#tryCall(false);
    while (!this.#isStopped) {
      if (this.#isFollowingReader) {
        isCurrent = await this.#waitForReaderLoss();
        continue;
      }
      isCurrent = await this.#tryCall(isCurrent);
    }
  }

  /**
   * Waits until no reader is followed. Returns whether the known keys are current then.
   */
  async #waitForReaderLoss(): Promise<boolean> {
    await new Promise<void>((resolve) => this.#wake = resolve);
    if (this.#isStopped) return false;
    const isCurrent = this.#options.listsOnReaderLoss === true &&
      await this.#tryCall(false);
    this.#abortController = new AbortController();
    await this.#pause(READER_LOSS_DELAY_MS);
    return isCurrent;
  }

  /**
   * Makes one call. Returns whether the known keys are current, so that a watch can
   * follow.
   */
  async #tryCall(isCurrent: boolean): Promise<boolean> {
    this.#abortController = new AbortController();
    const startedAt = performance.now();
    const outcome = await this.#tryRead(isCurrent);
    if (outcome === undefined) return false;
    const isNowCurrent = await this.#handle(outcome);
    this.#checkedAt = startedAt;
    return isNowCurrent;
  }

  /**
   * Reads changes, or all keys unless the known ones are current. Waits before it returns
   * undefined after a failure of the store.
   */
  async #tryRead(isCurrent: boolean): Promise<ReadOutcome | undefined> {
    const { reachability } = this.#options;
    try {
      const outcome = isCurrent ? await this.#watch() : await this.#list();
      this.#failures = 0;
      reachability.recordAnswer(performance.now());
      return outcome;
    } catch (error) {
      if (this.#isStopped || this.#isFollowingReader) return undefined;
      reachability.recordFailure(performance.now(), error);
      await sleep(this.#nextRetryPauseMs(), undefined, { ref: false });
      return undefined;
    }
  }

  /**
   * Returns the pause after a failed call. It does not grow before the first answer,
   * since a process without data cannot serve requests.
   */
  #nextRetryPauseMs(): number {
    const failures = this.#revision > 0 ? ++this.#failures : 1;
    return getRetryPauseMs(this.#options.retryPauseMs, failures);
  }

  async #list(): Promise<Listed> {
    const { store, prefix } = this.#options;
    return { kind: "listed", listing: await store.list(prefix) };
  }

  async #watch(): Promise<RereadDue | StoreWatchOutcome> {
    const { store, prefix, waitMs, rereadIntervalMs } = this.#options;
    if (rereadIntervalMs !== undefined) {
      await this.#pause(rereadIntervalMs);
      return { kind: "reread_due" };
    }
    return await store.watch({
      prefix,
      afterRevision: this.#revision,
      waitMs,
      signal: this.#abortController.signal,
    });
  }

  /**
   * Handles what the store returned. Returns whether the known keys are current, which
   * does not depend on exceptions of the handlers: another listing would bring the same.
   */
  async #handle(outcome: ReadOutcome): Promise<boolean> {
    switch (outcome.kind) {
      case "listed":
        this.#revision = outcome.listing.revision;
        this.#run(() => this.#options.onListed(outcome.listing.items));
        return true;
      case "changed":
        this.#revision = outcome.revision;
        await this.#handleChange(outcome);
        return true;
      case "reread_due":
      case "history_lost":
        return false;
    }
  }

  async #handleChange(changed: StoreChanged): Promise<void> {
    const { gatherMs, onChanged } = this.#options;
    if (changed.removed.length + changed.written.length === 0) return;
    this.#run(() => onChanged(changed));
    if (gatherMs !== undefined) await this.#pause(gatherMs);
  }

  #run(handle: () => void): void {
    const { log, prefix } = this.#options;
    tryHandle(log, `keys below ${prefix}`, handle);
  }

  async #pause(milliseconds: number): Promise<void> {
    const { signal } = this.#abortController;
    await sleep(milliseconds, undefined, { ref: false, signal })
      .catch(
        () => {
          /* Aborted by a new reader, a restart or a stop. */
        },
      );
  }
}

/**
 * Returns the milliseconds until the next call after `failures` failed calls in a row. An
 * unavailable or busy store gets fewer calls from each process of a large fleet, yet each
 * process learns of its recovery in time for the next change.
 *
 * @internal
 */
export function getRetryPauseMs(firstMs: number, failures: number): number {
  return firstMs * 2 ** Math.min(failures - 1, MAX_PAUSE_DOUBLINGS);
}
