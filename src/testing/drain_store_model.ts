/**
 * Simulates the platform's store from which entries read the drained failure domains, in
 * virtual time. Entries list first, then watch, and list again after a failed call.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import { getRetryPauseMs } from "../direct/store_watch.ts";
import type { EventQueue } from "./event_queue.ts";

const STORE_DELAY_MS = { min: 4, spread: 8 } as const;
/** Fraction of calls that fail while the store is unstable. */
const FAILURE_PROBABILITY = 0.5;
const RETRY_PAUSE_MS = 400;
/**
 * Milliseconds, beyond the wait of the call, after which an unanswered call has failed.
 */
const CALL_LIMIT_MS = 1500;
/**
 * Interval in milliseconds at which a reader whose VM is frozen checks whether it runs
 * again.
 */
const CHECK_INTERVAL_MS = 50;

/** The drains that a call has read. */
export interface DrainsRead {
  readonly era: number;
  readonly revision: number;
  readonly drained: ReadonlySet<string>;
  /** When the call began, in virtual milliseconds. */
  readonly askedAt: number;
}

/** A reader that follows the drains in the store. */
export interface DrainReader {
  readonly isFollowing: () => boolean;
  readonly isRunning: () => boolean;
  /** Whether watches get no answer. */
  readonly isSilent: () => boolean;
  readonly onRead: (read: DrainsRead) => void;
}

/** Options of a {@link DrainStoreModel}. */
export interface DrainStoreOptions {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  /** Milliseconds for which the store holds a watch. */
  readonly watchWaitMs: number;
  readonly isUnstable: () => boolean;
}

interface Follower {
  readonly reader: DrainReader;
  /** Number of the current round; answers to calls of earlier rounds are ignored. */
  round: number;
  failures: number;
  lastContent: string;
  /** Ends the wait of the reader's watch. */
  endWait: (() => void) | undefined;
}

/** The platform's store with the drained failure domains. */
export class DrainStoreModel {
  readonly #options: DrainStoreOptions;
  readonly #followers = new Map<number, Follower>();
  #era = 1;
  #revision = 1;
  #drained: ReadonlySet<string> = new Set();

  /** Creates a store without drains. */
  constructor(options: DrainStoreOptions) {
    this.#options = options;
  }

  /**
   * Drains a failure domain as the operator does; the write is acknowledged immediately.
   */
  drain(failureDomain: string): void {
    this.#drained = new Set([...this.#drained, failureDomain]);
    this.#revision++;
    this.#endAllWaits();
  }

  /** Restores the store from an older copy without any drain. */
  restoreOlderCopy(): void {
    this.#era++;
    this.#revision = 1;
    this.#drained = new Set();
    this.#endAllWaits();
  }

  /** Makes a call and reports whether it was answered. */
  call(onEnd: (isAnswered: boolean) => void): void {
    const { queue, random, isUnstable } = this.#options;
    const delayMs = STORE_DELAY_MS.min +
      random.nextBelow(STORE_DELAY_MS.spread);
    queue.after(delayMs, () => {
      onEnd(!isUnstable() || random.nextFraction() >= FAILURE_PROBABILITY);
    });
  }

  /** Starts to follow the drains for a reader. */
  follow(number: number, reader: DrainReader): void {
    const endWait = undefined;
    const follower = {
      reader,
      round: 0,
      failures: 0,
      lastContent: "",
      endWait,
    };
    this.#followers.set(number, follower);
    this.#list(follower, follower.round);
  }

  /** Cancels the current call of a reader and lists again. */
  listAgain(number: number): void {
    const follower = this.#followers.get(number);
    if (follower !== undefined) this.#list(follower, ++follower.round);
  }

  #list(follower: Follower, round: number): void {
    const askedAt = this.#options.queue.now;
    this.call((isAnswered) => {
      if (round !== follower.round) return;
      if (!isAnswered) return this.#scheduleRetry(follower, round);
      this.#read(follower, askedAt);
      this.#watch(follower, round);
    });
  }

  #watch(follower: Follower, round: number): void {
    const { queue, watchWaitMs } = this.#options;
    const { reader } = follower;
    if (!reader.isFollowing() || !reader.isRunning()) {
      // A reader that follows another entry lists again when it stops following.
      if (reader.isFollowing()) {
        queue.after(CHECK_INTERVAL_MS, () => this.#watch(follower, round));
      }
      return;
    }
    const askedAt = queue.now;
    let isOver = false;
    const end = (limitMs: number, isSilent: boolean) =>
      queue.after(limitMs, () => {
        if (isOver || round !== follower.round) return;
        isOver = true;
        if (isSilent) return this.#scheduleRetry(follower, round);
        this.#answerWatch(follower, { round, askedAt });
      });
    if (reader.isSilent()) return end(watchWaitMs + CALL_LIMIT_MS, true);
    follower.endWait = () => end(0, false);
    end(watchWaitMs, false);
    if (follower.lastContent !== this.#content) follower.endWait();
  }

  #answerWatch(
    follower: Follower,
    { round, askedAt }: { readonly round: number; readonly askedAt: number },
  ): void {
    follower.endWait = undefined;
    this.call((isAnswered) => {
      if (round !== follower.round) return;
      if (follower.reader.isSilent()) {
        const { queue, watchWaitMs } = this.#options;
        const limitAt = askedAt + watchWaitMs + CALL_LIMIT_MS;
        return queue.after(
          limitAt - queue.now,
          () => this.#scheduleRetry(follower, round),
        );
      }
      if (!isAnswered) return this.#scheduleRetry(follower, round);
      this.#read(follower, askedAt);
      this.#watch(follower, round);
    });
  }

  #scheduleRetry(follower: Follower, round: number): void {
    if (round !== follower.round) return;
    const pauseMs = getRetryPauseMs(RETRY_PAUSE_MS, ++follower.failures);
    this.#options.queue.after(pauseMs, () => {
      if (round === follower.round) this.#list(follower, round);
    });
  }

  #read(follower: Follower, askedAt: number): void {
    follower.failures = 0;
    follower.lastContent = this.#content;
    if (!follower.reader.isRunning()) return;
    follower.reader.onRead({
      era: this.#era,
      revision: this.#revision,
      drained: this.#drained,
      askedAt,
    });
  }

  get #content(): string {
    return `${this.#era}.${this.#revision}`;
  }

  #endAllWaits(): void {
    for (const { endWait } of this.#followers.values()) endWait?.();
  }
}
