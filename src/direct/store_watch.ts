/**
 * Follows all keys below a prefix of the platform's store: lists them once, then watches,
 * and lists again where the store's history has a gap.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  StoreChanged,
  StoreItem,
  WatchedStore,
} from "../external/watched_store.ts";
import type { Reachability } from "./reachability.ts";

/**
 * Milliseconds for which no other process must lead before a watch begins: a reader that
 * fails is replaced by the next one within that time, and each change of mind cost four
 * calls.
 */
const SETTLE_MS = 1000;

/** Failed calls in a row after which the pause before the next one grows no more. */
const MOST_PAUSE_DOUBLINGS = 2;

/** Options of a {@link StoreWatch}. */
export interface StoreWatchOptions {
  readonly store: WatchedStore;
  readonly prefix: string;
  /** Milliseconds for which the store may hold a watch: one call in that time. */
  readonly waitMs: number;
  /** Pause after a call that failed, in milliseconds. */
  readonly retryPauseMs: number;
  /** Milliseconds in which changes are gathered before the next call. */
  readonly gatherMs?: number;
  /** Milliseconds until all keys are read again; undefined: changes are watched. */
  readonly rereadMs?: number;
  /** Whether all keys are read at once at the start, whoever leads. */
  readonly readsFirst?: boolean;
  /** Whether they are read at once when no other process leads any more. */
  readonly readsWhenAlone?: boolean;
  readonly reachability: Reachability;
  /** All keys were read. */
  readonly onListed: (items: readonly StoreItem[]) => void;
  /** Some keys were written or removed. */
  readonly onChanged: (changed: StoreChanged) => void;
}

/** Follows all keys below a prefix. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  #revision = 0;
  #checkedAt = Number.NEGATIVE_INFINITY;
  #round = new AbortController();
  #isStarted = false;
  #isStopped = false;
  #isLed = false;
  /** Calls in a row that failed. */
  #failures = 0;
  /** Ends the wait of one that another process leads. */
  #wake: (() => void) | undefined;

  /** Follows nothing yet. */
  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Revision of the store up to which all changes were heard. */
  get revision(): number {
    return this.#revision;
  }

  /** When the last call that was answered began, in milliseconds. */
  get checkedAt(): number {
    return this.#checkedAt;
  }

  /** Follows from now on. */
  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    void this.#follow();
  }

  /** Follows no more. */
  stop(): void {
    this.#isStopped = true;
    this.#round.abort();
    this.#wake?.();
  }

  /**
   * Breaks off a watch that may never answer, and reads anew. A connection may be dead
   * without a sign while other calls are answered or refused.
   */
  restart(): void {
    this.#round.abort();
  }

  /** Whether another process tells the changes, so that the store is not asked. */
  setLed(isLed: boolean): void {
    if (isLed === this.#isLed) return;
    this.#isLed = isLed;
    if (isLed) this.#round.abort();
    else this.#wake?.();
  }

  async #follow(): Promise<void> {
    const { readsFirst } = this.#options;
    let isCurrent = readsFirst === true && await this.#tryRound(false);
    while (!this.#isStopped) {
      if (this.#isLed) {
        isCurrent = await this.#waitUntilAlone();
        continue;
      }
      isCurrent = await this.#tryRound(isCurrent);
    }
  }

  /** Waits until no other process leads, and whether what is known is current then. */
  async #waitUntilAlone(): Promise<boolean> {
    await new Promise<void>((resolve) => this.#wake = resolve);
    if (this.#isStopped) return false;
    const isCurrent = this.#options.readsWhenAlone === true &&
      await this.#tryRound(false);
    this.#round = new AbortController();
    await this.#pause(SETTLE_MS);
    return isCurrent;
  }

  /** Whether what is known is current, so that a watch can follow. */
  async #tryRound(isCurrent: boolean): Promise<boolean> {
    const { reachability } = this.#options;
    this.#round = new AbortController();
    const startedAt = performance.now();
    try {
      const isNowCurrent = isCurrent ? await this.#watch() : await this.#list();
      this.#checkedAt = startedAt;
      this.#failures = 0;
      reachability.noteAnswer(performance.now());
      return isNowCurrent;
    } catch (error) {
      if (this.#isStopped || this.#isLed) return false;
      reachability.noteFailure(performance.now(), error);
      await sleep(this.#nextRetryPauseMs(), undefined, { ref: false });
      return false;
    }
  }

  /** Who knows nothing yet serves nobody until the store answers, and asks at once. */
  #nextRetryPauseMs(): number {
    const failures = this.#revision > 0 ? ++this.#failures : 1;
    return getRetryPauseMs(this.#options.retryPauseMs, failures);
  }

  async #list(): Promise<boolean> {
    const { store, prefix, onListed } = this.#options;
    const listing = await store.list(prefix);
    this.#revision = listing.revision;
    onListed(listing.items);
    return true;
  }

  /** False when the store's history has a gap and all must be read again. */
  async #watch(): Promise<boolean> {
    const { store, prefix, waitMs, gatherMs, rereadMs, onChanged } =
      this.#options;
    if (rereadMs !== undefined) {
      await this.#pause(rereadMs);
      return false;
    }
    const outcome = await store.watch({
      prefix,
      afterRevision: this.#revision,
      waitMs,
      signal: this.#round.signal,
    });
    if (outcome.kind === "history_lost") return false;
    this.#revision = outcome.revision;
    if (outcome.removed.length + outcome.written.length === 0) return true;
    onChanged(outcome);
    if (gatherMs !== undefined) await this.#pause(gatherMs);
    return true;
  }

  async #pause(milliseconds: number): Promise<void> {
    const { signal } = this.#round;
    await sleep(milliseconds, undefined, { ref: false, signal })
      .catch(
        () => {/* Broken off, since another process leads or this one ends. */},
      );
  }
}

/**
 * Milliseconds until the next call after so many in a row that failed. A store that is
 * away or busy gets fewer calls from each process of a large fleet, and each of them
 * still hears of its return in time for what is written next.
 *
 * @internal
 */
export function getRetryPauseMs(firstMs: number, failures: number): number {
  return firstMs * 2 ** Math.min(failures - 1, MOST_PAUSE_DOUBLINGS);
}
