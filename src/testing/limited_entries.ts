/**
 * Simulates entries that send to targets, in virtual time. Targets announce rate limits,
 * backoffs, and that they are leaving. Entries receive these notices, lists and permits
 * with delays; they stop, restart and are cut off from each other.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import {
  PERMIT_TIMEOUT_MS,
  type PermitRequest,
} from "../policy/send_permits.ts";
import { type ColdPlan, ColdTargets } from "./cold_targets.ts";
import { EventQueue } from "./event_queue.ts";
import { type NoticePlan, PlannedNotices } from "./planned_notices.ts";
import { createCallerRequest, createRoutes } from "./fixtures.ts";

/** Delay of a message between entries in milliseconds: minimum and random addition. */
const MESSAGE_DELAY_MS = { min: 2, spread: 30 } as const;
/** Milliseconds within which an entry learns that another entry was added or removed. */
const MAX_LISTING_DELAY_MS = 2000;
/** Mean milliseconds from a request to the head of its answer. */
const MEAN_RUN_MS = 250;
const TICK_MS = 50;
/** Milliseconds between two lists of the targets. */
const LIST_INTERVAL_MS = 1000;
/** Milliseconds before callers start. */
const START_MS = 6000;

/** A temporary fault of an entry. */
export interface EntryFault {
  readonly at: number;
  readonly forMs: number;
  /**
   * `restart`: the entry loses its state. `leave`: it also leaves the list of entries.
   * `cut`: it is cut off from other entries, but not from callers and targets.
   */
  readonly kind: "restart" | "leave" | "cut";
  /**
   * Number of the entry; undefined: the primary issuer of permits for the first target.
   */
  readonly entry?: number;
}

/** Options of {@link LimitedEntries}. */
export interface LimitedEntriesOptions extends NoticePlan {
  readonly seed: number;
  readonly entries: number;
  readonly targets: number;
  /** Request rate of all callers together. */
  readonly requestsPerSecond: number;
  readonly faults: readonly EntryFault[];
  /** Changes of the list of targets, and how targets warm up. */
  readonly cold?: ColdPlan;
}

/** A request that reached a target. */
export interface Arrival {
  /** Milliseconds since callers started. */
  readonly at: number;
  readonly target: number;
  readonly entry: number;
}

/** A request that was refused. */
export interface Refusal {
  readonly at: number;
  readonly reason: string;
  /** Milliseconds for which the entry held the request. */
  readonly heldMs: number;
  readonly retryAfterSeconds: number | undefined;
}

/** Results of a run. */
export interface LimitedEntriesResult {
  readonly requests: number;
  readonly arrivals: readonly Arrival[];
  readonly refusals: readonly Refusal[];
  /** Number of permit requests. */
  readonly permitRequests: number;
  /** Number of updates that entries sent to the others. */
  readonly sentUpdates: number;
}

interface EntryState {
  readonly number: number;
  reducer: EntryReducer;
  isDown: boolean;
  isCut: boolean;
}

/** Entries that send to targets that announce limits. */
export class LimitedEntries {
  readonly #options: LimitedEntriesOptions;
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #entries: readonly EntryState[];
  readonly #notices: PlannedNotices;
  readonly #targets: ColdTargets;
  readonly #startedAt = new Map<number, number>();
  readonly #arrivals: Arrival[] = [];
  readonly #refusals: Refusal[] = [];
  #requests = 0;
  #permitRequests = 0;
  #sentUpdates = 0;

  /** Creates entries that know each other and have no requests. */
  constructor(options: LimitedEntriesOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#notices = new PlannedNotices(options);
    this.#targets = new ColdTargets({
      count: options.targets,
      plan: options.cold,
      startMs: START_MS,
    });
    this.#entries = Array.from({ length: options.entries }, (_, number) => ({
      number,
      reducer: this.#createReducer(number),
      isDown: false,
      isCut: false,
    }));
  }

  /**
   * Runs for a number of virtual milliseconds.
   *
   * @example
   * ```ts
   * const { arrivals } = new LimitedEntries(options).run(20_000);
   * ```
   */
  run(milliseconds: number): LimitedEntriesResult {
    for (const entry of this.#entries) this.#listEntries(entry);
    this.#scheduleTick();
    for (const entry of this.#options.cold ? this.#entries : []) {
      this.#scheduleList(entry, this.#random.nextBelow(LIST_INTERVAL_MS));
    }
    for (const fault of this.#options.faults) this.#scheduleFault(fault);
    const end = START_MS + milliseconds;
    this.#queue.after(START_MS, () => this.#scheduleRequest(end));
    this.#queue.runUntil(end);
    return {
      requests: this.#requests,
      arrivals: this.#arrivals,
      refusals: this.#refusals,
      permitRequests: this.#permitRequests,
      sentUpdates: this.#sentUpdates,
    };
  }

  #createReducer(number: number): EntryReducer {
    const { seed } = this.#options;
    const reducer = new EntryReducer({
      failureDomain: "a",
      entryName: getEntryName(number),
      random: new RandomSource(seed * 10_000 + number),
    });
    const service = ["defaultDeadlineMs: 8000", "objectiveMs: 400"];
    const routes = createRoutes({ service });
    const { now } = this.#queue;
    const { coldPools } = this.#targets;
    reducer.reduce({ kind: "settings_in_force", now, routes, coldPools });
    reducer.reduce(this.#targets.list(number, now));
    return reducer;
  }

  /**
   * Schedules lists of the targets. The store also answers entries that are cut off from
   * others.
   */
  #scheduleList(entry: EntryState, afterMs: number): void {
    this.#queue.after(afterMs, () => {
      this.#reduce(entry, this.#targets.list(entry.number, this.#queue.now));
      this.#scheduleList(entry, LIST_INTERVAL_MS);
    });
  }

  #listEntries(entry: EntryState): void {
    const entries = this.#entries
      .filter(({ isDown }) => !isDown)
      .map(({ number }) => getEntryName(number));
    const { now } = this.#queue;
    this.#reduce(entry, { kind: "entries_listed", entries, now });
  }

  /** Each entry learns of the new list after a random delay. */
  #onEntriesChanged(): void {
    for (const entry of this.#entries) {
      this.#queue.after(
        this.#random.nextBelow(MAX_LISTING_DELAY_MS),
        () => this.#listEntries(entry),
      );
    }
  }

  #scheduleTick(): void {
    this.#queue.after(TICK_MS, () => {
      const { now } = this.#queue;
      const busy = this.#entries.filter(({ reducer }) => reducer.inFlight > 0);
      for (const entry of busy) this.#reduce(entry, { kind: "tick", now });
      this.#scheduleTick();
    });
  }

  #scheduleFault({ at, forMs, kind, entry }: EntryFault): void {
    this.#queue.after(START_MS + at, () => {
      const affected = this
        .#entries[entry ?? this.#findPrimaryIssuer()] as EntryState;
      affected.isDown = kind !== "cut";
      affected.isCut = kind === "cut";
      if (kind === "leave") this.#onEntriesChanged();
      this.#queue.after(forMs, () => {
        if (kind !== "cut") {
          affected.reducer = this.#createReducer(affected.number);
        }
        affected.isDown = false;
        affected.isCut = false;
        this.#listEntries(affected);
        this.#reconcile(affected);
        if (kind === "leave") this.#onEntriesChanged();
      });
    });
  }

  /** Exchanges replicated state that differs, as after a reconnection. */
  #reconcile(entry: EntryState): void {
    const other = this.#entries.find((one) =>
      one !== entry && !one.isDown && !one.isCut
    );
    if (other !== undefined) this.#replicateTo(other, entry);
    this.#replicate(entry);
  }

  /** Returns the number of the primary issuer of permits for the first target. */
  #findPrimaryIssuer(): number {
    const issuer = this.#entries.find(({ reducer }) =>
      reducer.permits.isPrimaryIssuer("target-0")
    );
    return issuer?.number ?? 0;
  }

  #scheduleRequest(end: number): void {
    const { requestsPerSecond } = this.#options;
    this.#queue.after(
      this.#random.nextExponential(1000 / requestsPerSecond),
      () => {
        if (this.#queue.now > end) return;
        this.#sendRequest();
        this.#scheduleRequest(end);
      },
    );
  }

  #sendRequest(): void {
    const running = this.#entries.filter(({ isDown }) => !isDown);
    const entry = running[this.#random.nextBelow(running.length)] as EntryState;
    const id = ++this.#requests;
    const { now } = this.#queue;
    this.#startedAt.set(id, now);
    const request = createCallerRequest({ id, deadlineMs: 8000 });
    this.#reduce(entry, { kind: "request_arrived", now, request });
  }

  #reduce(entry: EntryState, event: EntryEvent): void {
    if (entry.isDown) return;
    for (const effect of entry.reducer.reduce(event)) {
      this.#perform(entry, effect);
    }
  }

  #perform(entry: EntryState, effect: EntryEffect): void {
    switch (effect.kind) {
      case "send":
        if (effect.message.kind === "submit") {
          this.#submit(entry, effect.targetName, effect.message);
        }
        return;
      case "refuse_request":
        return this.#recordRefusal(effect.requestId, effect.problem);
      case "memories_changed":
        return this.#replicate(entry);
      case "ask_permits":
        return this.#requestPermits(entry, effect.permitRequest);
      default:
        return;
    }
  }

  #submit(
    entry: EntryState,
    targetName: string,
    attemptId: { readonly requestId: number; readonly attempt: number },
  ): void {
    const target = Number.parseInt(targetName.slice("target-".length));
    const { reducer } = entry;
    const at = this.#queue.now - START_MS;
    this.#arrivals.push({ at, target, entry: entry.number });
    this.#queue.after(this.#random.nextExponential(MEAN_RUN_MS), () => {
      // A process that has ended meanwhile receives no answer.
      if (entry.reducer !== reducer) return;
      const now = this.#queue.now - START_MS;
      for (const message of this.#notices.answer(attemptId, target, now)) {
        const { now } = this.#queue;
        this.#reduce(entry, {
          kind: "message_received",
          now,
          targetName,
          message,
        });
      }
    });
  }

  #recordRefusal(
    requestId: number,
    { reason, retryAfterSeconds }: {
      readonly reason: string;
      readonly retryAfterSeconds?: number;
    },
  ): void {
    const { now } = this.#queue;
    const heldMs = now - (this.#startedAt.get(requestId) ?? now);
    const at = now - START_MS;
    this.#refusals.push({ at, reason, heldMs, retryAfterSeconds });
  }

  #replicate(from: EntryState): void {
    this.#sentUpdates++;
    for (const entry of this.#entries) {
      if (entry !== from) this.#replicateTo(from, entry);
    }
  }

  #replicateTo(from: EntryState, to: EntryState): void {
    this.#replicateLeaving(from, to);
    if (from.reducer.limits.content === to.reducer.limits.content) return;
    const limits = from.reducer.limits.list();
    this.#deliver(from, to, () => {
      const { now } = this.#queue;
      this.#reduce(to, { kind: "limits_told", now, limits });
    });
  }

  #replicateLeaving(from: EntryState, to: EntryState): void {
    const { leaving } = from.reducer.registry;
    if (leaving.content === to.reducer.registry.leaving.content) return;
    const targets = leaving.list();
    this.#deliver(from, to, () => {
      const { now } = this.#queue;
      this.#reduce(to, { kind: "leaving_told", now, targets });
    });
  }

  #requestPermits(requester: EntryState, request: PermitRequest): void {
    this.#permitRequests++;
    const { target, entry, count } = request;
    const askedAt = this.#queue.now;
    const issuer = this.#entries.find(({ number }) =>
      getEntryName(number) === entry
    );
    let isSettled = false;
    const settle = (answer?: ReturnType<EntryReducer["permits"]["issue"]>) => {
      if (isSettled) return;
      isSettled = true;
      const { now } = this.#queue;
      const outcome = { target, entry, askedAt, answer };
      this.#reduce(requester, { kind: "permits_told", now, outcome });
    };
    this.#queue.after(PERMIT_TIMEOUT_MS, () => settle());
    if (issuer === undefined) return;
    this.#deliver(requester, issuer, () => {
      if (issuer.isDown) return;
      const answer = issuer.reducer.permits.issue(
        target,
        count,
        this.#queue.now,
      );
      this.#deliver(issuer, requester, () => settle(answer));
    });
  }

  #deliver(from: EntryState, to: EntryState, run: () => void): void {
    const delay = MESSAGE_DELAY_MS.min +
      this.#random.nextBelow(MESSAGE_DELAY_MS.spread);
    this.#queue.after(delay, () => {
      if (!from.isCut && !to.isCut) run();
    });
  }
}

function getEntryName(entry: number): string {
  return `entry-${entry}`;
}
