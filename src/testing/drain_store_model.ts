/**
 * Simulates the platform's store from which entries read the drained failure domains, in
 * virtual time. Entries list first, then watch, and list again after a failed call.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import { getRetryPauseMs } from "../direct/store_watch.ts";
import type { EventQueue } from "./event_queue.ts";

const STORE_MS = { least: 4, spread: 8 } as const;
/** Fraction of calls that fail while the store is unstable. */
const FAILED_SHARE = 0.5;
const RETRY_PAUSE_MS = 400;
/**
 * Milliseconds, beyond the wait of the call, after which an unanswered call has failed.
 */
const CALL_LIMIT_MS = 1500;
/**
 * Interval in milliseconds at which a reader whose VM is frozen checks whether it runs
 * again.
 */
const LOOK_MS = 50;

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

interface Following {
  readonly reader: DrainReader;
  /** Number of the current round; answers to calls of earlier rounds are ignored. */
  round: number;
  failures: number;
  heard: string;
  /** Ends the wait of the reader's watch. */
  wake: (() => void) | undefined;
}

/** The platform's store with the drained failure domains. */
export class DrainStoreModel {
  readonly #options: DrainStoreOptions;
  readonly #following = new Map<number, Following>();
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
    this.#wakeAll();
  }

  /** Restores the store from an older copy without any drain. */
  goBack(): void {
    this.#era++;
    this.#revision = 1;
    this.#drained = new Set();
    this.#wakeAll();
  }

  /** Makes a call and reports whether it was answered. */
  call(onOver: (isAnswered: boolean) => void): void {
    const { queue, random, isUnstable } = this.#options;
    const tookMs = STORE_MS.least + random.nextBelow(STORE_MS.spread);
    queue.after(tookMs, () => {
      onOver(!isUnstable() || random.nextFraction() >= FAILED_SHARE);
    });
  }

  /** Starts to follow the drains for a reader. */
  follow(number: number, reader: DrainReader): void {
    const wake = undefined;
    const one = { reader, round: 0, failures: 0, heard: "", wake };
    this.#following.set(number, one);
    this.#list(one, one.round);
  }

  /** Cancels the current call of a reader and lists again. */
  readAnew(number: number): void {
    const one = this.#following.get(number);
    if (one !== undefined) this.#list(one, ++one.round);
  }

  #list(one: Following, round: number): void {
    const askedAt = this.#options.queue.now;
    this.call((isAnswered) => {
      if (round !== one.round) return;
      if (!isAnswered) return this.#failed(one, round);
      this.#read(one, askedAt);
      this.#watch(one, round);
    });
  }

  #watch(one: Following, round: number): void {
    const { queue, watchWaitMs } = this.#options;
    const { reader } = one;
    if (!reader.isFollowing() || !reader.isRunning()) {
      // A reader that follows another entry lists again when it stops following.
      if (reader.isFollowing()) {
        queue.after(LOOK_MS, () => this.#watch(one, round));
      }
      return;
    }
    const askedAt = queue.now;
    let isOver = false;
    const end = (limitMs: number, isSilent: boolean) =>
      queue.after(limitMs, () => {
        if (isOver || round !== one.round) return;
        isOver = true;
        if (isSilent) return this.#failed(one, round);
        this.#answerWatch(one, { round, askedAt });
      });
    if (reader.isSilent()) return end(watchWaitMs + CALL_LIMIT_MS, true);
    one.wake = () => end(0, false);
    end(watchWaitMs, false);
    if (one.heard !== this.#content) one.wake();
  }

  #answerWatch(
    one: Following,
    { round, askedAt }: { readonly round: number; readonly askedAt: number },
  ): void {
    one.wake = undefined;
    this.call((isAnswered) => {
      if (round !== one.round) return;
      if (one.reader.isSilent()) {
        const { queue, watchWaitMs } = this.#options;
        const limitAt = askedAt + watchWaitMs + CALL_LIMIT_MS;
        return queue.after(
          limitAt - queue.now,
          () => this.#failed(one, round),
        );
      }
      if (!isAnswered) return this.#failed(one, round);
      this.#read(one, askedAt);
      this.#watch(one, round);
    });
  }

  #failed(one: Following, round: number): void {
    if (round !== one.round) return;
    const pauseMs = getRetryPauseMs(RETRY_PAUSE_MS, ++one.failures);
    this.#options.queue.after(pauseMs, () => {
      if (round === one.round) this.#list(one, round);
    });
  }

  #read(one: Following, askedAt: number): void {
    one.failures = 0;
    one.heard = this.#content;
    if (!one.reader.isRunning()) return;
    one.reader.onRead({
      era: this.#era,
      revision: this.#revision,
      drained: this.#drained,
      askedAt,
    });
  }

  get #content(): string {
    return `${this.#era}.${this.#revision}`;
  }

  #wakeAll(): void {
    for (const { wake } of this.#following.values()) wake?.();
  }
}
