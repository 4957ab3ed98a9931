/**
 * The platform's store as entries read the drained failure domains from it, in virtual time:
 * a listing, then watches, and a listing again after a call that failed.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import { getRetryPauseMs } from "../direct/store_watch.ts";
import type { EventQueue } from "./event_queue.ts";

const STORE_MS = { least: 4, spread: 8 } as const;
/** Share of calls that fail while the store is unstable. */
const FAILED_SHARE = 0.5;
const RETRY_PAUSE_MS = 400;
/** Milliseconds after which a call that gets no answer has failed, beyond its wait. */
const CALL_LIMIT_MS = 1500;
/** Milliseconds between two looks of a machine that stands still, or is led. */
const LOOK_MS = 50;

/** The drains, as a call read them. */
export interface DrainsRead {
  readonly era: number;
  readonly revision: number;
  readonly drained: ReadonlySet<string>;
  /** When the call began, in virtual milliseconds. */
  readonly askedAt: number;
}

/** One that follows the drains in the store. */
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
  /** Counts rounds that were broken off: answers of earlier ones are not heard. */
  round: number;
  failures: number;
  heard: string;
  /** Ends the wait of its watch. */
  wake: (() => void) | undefined;
}

/** The platform's store with the drained failure domains. */
export class DrainStoreModel {
  readonly #options: DrainStoreOptions;
  readonly #following = new Map<number, Following>();
  #era = 1;
  #revision = 1;
  #drained: ReadonlySet<string> = new Set();

  /** Holds no drain. */
  constructor(options: DrainStoreOptions) {
    this.#options = options;
  }

  /** The operator drains a failure domain; the store has acknowledged it at once. */
  drain(failureDomain: string): void {
    this.#drained = new Set([...this.#drained, failureDomain]);
    this.#revision++;
    this.#wakeAll();
  }

  /** The store comes back from a copy without any drain. */
  goBack(): void {
    this.#era++;
    this.#revision = 1;
    this.#drained = new Set();
    this.#wakeAll();
  }

  /** Makes a call; tells whether it was answered. */
  call(onOver: (isAnswered: boolean) => void): void {
    const { queue, random, isUnstable } = this.#options;
    const tookMs = STORE_MS.least + random.nextBelow(STORE_MS.spread);
    queue.after(tookMs, () => {
      onOver(!isUnstable() || random.nextFraction() >= FAILED_SHARE);
    });
  }

  /** Follows the drains from now on. */
  follow(number: number, reader: DrainReader): void {
    const wake = undefined;
    const one = { reader, round: 0, failures: 0, heard: "", wake };
    this.#following.set(number, one);
    this.#list(one, one.round);
  }

  /** Breaks off what one waits for, and lists. */
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
      // One that is led reads anew when it is not led any more.
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
