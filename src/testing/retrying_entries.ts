/**
 * Simulates entries that share the retry limit of a pool, in virtual time. Most attempts
 * fail, so that each entry retries as often as it may. Entries restart and receive
 * different lists of entries, and links deliver attempts late.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import type { PoolRetryLimits } from "../policy/pool_retry_budgets.ts";
import { EventQueue } from "./event_queue.ts";
import {
  type AttemptIdentity,
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "./fixtures.ts";

const TARGETS = 8;
/** Concurrency of a target; no target is ever full. */
const TARGET_CONCURRENCY = 1000;
/** Milliseconds from an attempt's arrival at a target to its answer. */
const ANSWER_MS = 20;
/** Milliseconds from an attempt's sending to its arrival at a target. */
const TRANSIT_MS = 2;
const TICK_MS = 50;
/** Milliseconds between two lists of the targets. */
const LIST_INTERVAL_MS = 700;
/** Maximum milliseconds until a new process has its first list of entries. */
const MAX_FIRST_LIST_MS = 500;
/** Milliseconds before the measured time, in which all entries learn of each other. */
const START_MS = 15_000;

/** The entries that one entry's list contains from some time on. */
export interface EntryListing {
  readonly at: number;
  /** Returns the numbers of the entries in the list that an entry receives. */
  readonly list: (entry: number) => readonly number[];
}

/** Entries that are replaced by new processes without state. */
export interface EntryRestart {
  readonly at: number;
  readonly entries: readonly number[];
}

/** A span in which attempts at the first targets are delivered only at its end. */
export interface LinkDelay {
  readonly at: number;
  readonly forMs: number;
  /** Number of targets whose links are affected. */
  readonly targets: number;
}

/** Options of {@link RetryingEntries}. */
export interface RetryingEntriesOptions {
  readonly seed: number;
  readonly entries: number;
  /** Request rate of all callers together. */
  readonly requestsPerSecond: number;
  readonly limits: PoolRetryLimits;
  /** Fraction of attempts that targets refuse without having run them. */
  readonly refusedShare: number;
  /** Whether entries never receive a list. */
  readonly hasNoList?: boolean;
  /** Lists in force from their time on; before the first, all entries are listed. */
  readonly listings?: readonly EntryListing[];
  readonly restarts?: readonly EntryRestart[];
  readonly delays?: readonly LinkDelay[];
}

/** Results of a run. */
export interface RetryingEntriesResult {
  readonly requests: number;
  /** Arrivals beyond the first of their request. */
  readonly repeats: number;
  /** Maximum ratio of such arrivals to those that the limit allows in a window. */
  readonly worstUse: number;
}

interface EntryState {
  readonly number: number;
  reducer: EntryReducer;
  /** Whether the process has received a list of entries. */
  isListed: boolean;
}

/** An attempt on its way to a target. */
interface AttemptInTransit {
  readonly requestId: number;
  readonly attempt: number;
  isCancelled: boolean;
}

/** Entries that share the retry limit of one pool. */
export class RetryingEntries {
  readonly #options: RetryingEntriesOptions;
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #entries: readonly EntryState[];
  readonly #inTransit = new Set<AttemptInTransit>();
  readonly #arrivals = new Map<number, number>();
  /** Times at which callers sent requests, and of arrivals beyond the first. */
  readonly #sentAt: number[] = [];
  readonly #repeatedAt: number[] = [];

  /** Creates entries without requests. */
  constructor(options: RetryingEntriesOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#entries = Array.from({ length: options.entries }, (_, number) => ({
      number,
      reducer: this.#createReducer(number),
      isListed: false,
    }));
  }

  /**
   * Runs for a number of virtual milliseconds.
   *
   * @example
   * ```ts
   * const { worstUse } = new RetryingEntries(options).run(30_000);
   * ```
   */
  run(milliseconds: number): RetryingEntriesResult {
    const { listings = [], restarts = [] } = this.#options;
    for (const entry of this.#entries) this.#sendFirstList(entry, 0);
    for (const { at } of listings) {
      this.#queue.after(START_MS + at, () => this.#sendLists());
    }
    for (const restart of restarts) this.#scheduleRestart(restart);
    this.#scheduleTick();
    const end = START_MS + milliseconds;
    this.#scheduleRequest(end);
    this.#queue.runUntil(end);
    return {
      requests: this.#sentAt.length,
      repeats: this.#repeatedAt.length,
      worstUse: this.#computeWorstUse(),
    };
  }

  #createReducer(number: number): EntryReducer {
    const reducer = new EntryReducer({
      failureDomain: "a",
      entryName: getEntryName(number),
      random: new RandomSource(this.#options.seed * 1000 + number),
      poolRetries: this.#options.limits,
    });
    const { now } = this.#queue;
    const routes = createRoutes({
      service: [
        "mostAttempts: 2",
        "retryShare: 1",
        "objectiveMs: 400",
        "defaultDeadlineMs: 8000",
      ],
    });
    reducer.reduce({ kind: "settings_in_force", now, routes });
    reducer.reduce(this.#listTargets());
    return reducer;
  }

  #listTargets(): EntryEvent {
    const instances = Array.from(
      { length: TARGETS },
      (_, number) =>
        createInstance(getTargetName(number), {
          concurrency: TARGET_CONCURRENCY,
        }),
    );
    return { kind: "instances_listed", now: this.#queue.now, instances };
  }

  #sendFirstList(entry: EntryState, afterMs: number): void {
    entry.isListed = false;
    const { reducer } = entry;
    this.#queue.after(afterMs, () => {
      if (entry.reducer !== reducer || this.#options.hasNoList) return;
      entry.isListed = true;
      this.#sendList(entry);
    });
  }

  #sendLists(): void {
    const listed = this.#entries.filter(({ isListed }) => isListed);
    for (const entry of listed) this.#sendList(entry);
  }

  #sendList(entry: EntryState): void {
    const { now } = this.#queue;
    const listing = this.#options.listings
      ?.findLast(({ at }) => START_MS + at <= now);
    const numbers = listing?.list(entry.number) ??
      this.#entries.map(({ number }) => number);
    const entries = numbers.map(getEntryName);
    this.#reduce(entry, { kind: "entries_listed", now, entries });
  }

  #scheduleRestart({ at, entries }: EntryRestart): void {
    this.#queue.after(START_MS + at, () => {
      for (const number of entries) {
        const entry = this.#entries[number] as EntryState;
        entry.reducer = this.#createReducer(number);
        this.#sendFirstList(entry, this.#random.nextBelow(MAX_FIRST_LIST_MS));
      }
    });
  }

  #scheduleTick(): void {
    this.#queue.after(TICK_MS, () => {
      const { now } = this.#queue;
      const isListDue = now % LIST_INTERVAL_MS < TICK_MS;
      for (const entry of this.#entries) {
        if (isListDue) this.#reduce(entry, this.#listTargets());
        this.#reduce(entry, { kind: "tick", now });
      }
      this.#scheduleTick();
    });
  }

  #scheduleRequest(end: number): void {
    const intervalMs = 1000 / this.#options.requestsPerSecond;
    this.#queue.after(this.#random.nextExponential(intervalMs), () => {
      const { now } = this.#queue;
      if (now > end) return;
      const number = this.#random.nextBelow(this.#entries.length);
      const entry = this.#entries[number] as EntryState;
      this.#sentAt.push(now);
      const id = this.#sentAt.length;
      const request = createCallerRequest({ id });
      this.#reduce(entry, { kind: "request_arrived", now, request });
      this.#scheduleRequest(end);
    });
  }

  #reduce(entry: EntryState, event: EntryEvent): void {
    for (const effect of entry.reducer.reduce(event)) {
      this.#perform(entry, effect);
    }
  }

  #perform(entry: EntryState, effect: EntryEffect): void {
    if (effect.kind !== "send") return;
    const { message, targetName } = effect;
    if (message.kind === "cancel") return this.#cancel(message);
    const { requestId, attempt } = message;
    const inTransit = { requestId, attempt, isCancelled: false };
    this.#inTransit.add(inTransit);
    const { reducer } = entry;
    this.#queue.after(this.#getTransitMs(targetName), () => {
      this.#inTransit.delete(inTransit);
      // The connections of a process that has ended are reset.
      if (inTransit.isCancelled || entry.reducer !== reducer) return;
      this.#recordArrival(requestId);
      this.#queue.after(
        ANSWER_MS,
        () => this.#answer(entry, reducer, { targetName, ...inTransit }),
      );
    });
  }

  #getTransitMs(targetName: string): number {
    const { now } = this.#queue;
    const healsIn = (this.#options.delays ?? [])
      .filter(({ targets }) => getTargetNumber(targetName) < targets)
      .filter(({ at }) => START_MS + at <= now)
      .map(({ at, forMs }) => START_MS + at + forMs - now);
    return Math.max(TRANSIT_MS, ...healsIn);
  }

  /** A cancelled attempt resets its connection, which discards what was not delivered. */
  #cancel({ requestId, attempt }: AttemptIdentity): void {
    for (const inTransit of this.#inTransit) {
      const isSame = inTransit.requestId === requestId &&
        inTransit.attempt === attempt;
      if (isSame) inTransit.isCancelled = true;
    }
  }

  #recordArrival(requestId: number): void {
    const arrivals = (this.#arrivals.get(requestId) ?? 0) + 1;
    this.#arrivals.set(requestId, arrivals);
    if (arrivals > 1) this.#repeatedAt.push(this.#queue.now);
  }

  #answer(
    entry: EntryState,
    reducer: EntryReducer,
    attempt: AttemptIdentity & { readonly targetName: string },
  ): void {
    if (entry.reducer !== reducer) return;
    const isRefused = this.#random.nextFraction() < this.#options.refusedShare;
    const messages = isRefused
      ? [createRefused(attempt, "BACK_END_FULL")]
      : createEmptyAnswer(attempt);
    const { targetName } = attempt;
    for (const message of messages) {
      const { now } = this.#queue;
      this.#reduce(entry, {
        kind: "message_received",
        now,
        targetName,
        message,
      });
    }
  }

  /**
   * Returns the maximum use of the limit over all windows that end with a repeat. Requests
   * are counted in the window, the window before it, or half a window before it, whichever
   * has the most.
   */
  #computeWorstUse(): number {
    const { windowMs, share, slack } = this.#options.limits;
    const measured = this.#repeatedAt.filter((at) => at >= START_MS);
    const countIn = (times: readonly number[], end: number) =>
      times.filter((at) => at > end - windowMs && at <= end).length;
    const uses = measured.map((end) => {
      const requests = Math.max(
        ...[0, windowMs / 2, windowMs].map((age) =>
          countIn(this.#sentAt, end - age)
        ),
      );
      return countIn(this.#repeatedAt, end) / (share * requests + slack);
    });
    return Math.max(0, ...uses);
  }
}

function getEntryName(entry: number): string {
  return `entry-${entry}`;
}

function getTargetName(target: number): string {
  return `target-${target}`;
}

function getTargetNumber(name: string): number {
  return Number.parseInt(name.slice("target-".length));
}
