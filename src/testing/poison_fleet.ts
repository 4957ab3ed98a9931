/**
 * Simulates entries before rank groups, in virtual time: callers that retry, requests
 * that crash each rank that runs them, and ranks that crash for other reasons. Entries
 * receive lists, states of groups and each other's crashes with realistic delays.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import type { AttemptMessage, SubmitMessage } from "../messages/types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import {
  CrashingRanks,
  type RankIncarnation,
  type RunOutcome,
} from "./crashing_ranks.ts";
import { EventQueue } from "./event_queue.ts";
import {
  type AttemptIdentity,
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "./fixtures.ts";

const CLIENT_DEADLINE_MS = 8000;
/** Milliseconds after which a caller without an answer retries. */
const RETURN_MS = 400;
const CALLER_ATTEMPTS = 3;
const LIST_INTERVAL_MS = 700;
const GROUP_HEARD_MS = 150;
/**
 * Delay in milliseconds until other entries receive a crash: minimum and random addition.
 */
const TOLD_MS = { least: 20, spread: 300 } as const;
const TICK_MS = 100;
/**
 * Updates that an entry sends before the simulation stops delivering them, as they would
 * never end.
 */
const TOLD_LIMIT = 120;

/** Options of a {@link PoisonFleet}. */
export interface PoisonFleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly groups: number;
  readonly ranksPerGroup: number;
  /** Rate of requests that crash no ranks. */
  readonly requestsPerSecond: number;
  /** Number of poison requests. */
  readonly poisons: number;
  /** Milliseconds between two arrivals of each poison request. */
  readonly poisonEveryMs: number;
  /** Ranks that crash at the same time for other reasons. */
  readonly losses: readonly RankLoss[];
}

/** Ranks that crash at the same time for reasons other than a request. */
export interface RankLoss {
  readonly at: number;
  /** Fraction of all ranks. */
  readonly share: number;
}

/** Results of a run. */
export interface PoisonFleetResult {
  /** Crashes of ranks caused by poison requests. */
  readonly crashes: number;
  /** Requests that crash no ranks. */
  readonly innocent: number;
  /** Number of those that were refused as if they crashed ranks. */
  readonly refusedInnocent: number;
  /** Number of those that were answered. */
  readonly served: number;
  /** Maximum number of times that one entry sent changes to the others. */
  readonly mostTold: number;
}

interface Call {
  readonly body: string;
  readonly crashes: boolean;
  readonly until: number;
  attempts: number;
}

/** Entries before rank groups. */
export class PoisonFleet {
  readonly #options: PoisonFleetOptions;
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #ranks: CrashingRanks;
  readonly #entries: readonly EntryReducer[];
  readonly #calls = new Map<number, Call>();
  #requests = 0;
  #innocent = 0;
  #served = 0;
  readonly #told = new Map<EntryReducer, number>();
  readonly #refusedInnocent = new Set<string>();

  /** Creates entries without requests. */
  constructor(options: PoisonFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#ranks = new CrashingRanks({
      queue: this.#queue,
      groups: options.groups,
      ranksPerGroup: options.ranksPerGroup,
      onGroupChanged: (group, isOpen) => this.#tellGroup(group, isOpen),
    });
    this.#entries = Array.from(
      { length: options.entries },
      (_, number) => this.#createEntry(number),
    );
  }

  /**
   * Runs for a number of virtual milliseconds.
   *
   * @example
   * ```ts
   * const { crashes } = new PoisonFleet(options).run(60_000);
   * ```
   */
  run(milliseconds: number): PoisonFleetResult {
    this.#entries.forEach((entry) => this.#follow(entry));
    this.#planCaller(milliseconds);
    for (let poison = 0; poison < this.#options.poisons; poison++) {
      this.#planPoison(`poison ${poison}`);
    }
    for (const loss of this.#options.losses) this.#planLoss(loss);
    this.#queue.runUntil(milliseconds + CLIENT_DEADLINE_MS);
    return {
      crashes: this.#ranks.crashes,
      innocent: this.#innocent,
      refusedInnocent: this.#refusedInnocent.size,
      served: this.#served,
      mostTold: Math.max(0, ...this.#told.values()),
    };
  }

  #createEntry(number: number): EntryReducer {
    const { seed } = this.#options;
    const entry = new EntryReducer({
      failureDomain: "a",
      entryName: `entry-${number}`,
      random: new RandomSource(seed * 1000 + number),
    });
    const service = [
      "retryShare: 0.2",
      "mostAttempts: 2",
      "defaultDeadlineMs: 8000",
      "longestDeadlineMs: 8000",
      "objectiveMs: 400",
    ];
    const routes = createRoutes({ service });
    this.#reduce(entry, { kind: "settings_in_force", now: 0, routes });
    return entry;
  }

  /** Schedules lists, ticks and states of groups, at random times for each entry. */
  #follow(entry: EntryReducer): void {
    this.#list(entry);
    const ranks = this.#ranks.listed.map(({ address, group }) => ({
      engineAddress: address,
      group,
    }));
    this.#reduce(entry, { kind: "ranks_listed", ranks });
    const first = this.#random.nextBelow(LIST_INTERVAL_MS);
    this.#repeat(first, LIST_INTERVAL_MS, () => this.#list(entry));
    this.#repeat(
      this.#random.nextBelow(TICK_MS),
      TICK_MS,
      () => this.#reduce(entry, { kind: "tick", now: this.#queue.now }),
    );
  }

  #repeat(first: number, everyMs: number, run: () => void): void {
    this.#queue.after(first, () => {
      run();
      this.#repeat(everyMs, everyMs, run);
    });
  }

  #list(entry: EntryReducer): void {
    const instances = this.#ranks.listed.map(({ id, address }) =>
      createInstance(id, { address })
    );
    const { now } = this.#queue;
    this.#reduce(entry, { kind: "instances_listed", now, instances });
  }

  #tellGroup(group: string, isOpen: boolean): void {
    const seenAt = this.#queue.now;
    for (const entry of this.#entries) {
      this.#queue.after(this.#random.nextBelow(GROUP_HEARD_MS), () => {
        const { now } = this.#queue;
        const ageMs = now - seenAt;
        const sight = { kind: "group_sight", group, isOpen, ageMs } as const;
        this.#reduce(entry, { kind: "group_seen", now, sight });
      });
    }
  }

  #planCaller(end: number): void {
    const { requestsPerSecond } = this.#options;
    this.#queue.after(
      this.#random.nextExponential(1000 / requestsPerSecond),
      () => {
        if (this.#queue.now > end) return;
        this.#innocent++;
        this.#call(this.#createCall(`innocent ${this.#innocent}`, false));
        this.#planCaller(end);
      },
    );
  }

  #planPoison(body: string): void {
    const { poisonEveryMs } = this.#options;
    this.#repeat(this.#random.nextBelow(poisonEveryMs), poisonEveryMs, () => {
      const call = this.#createCall(body, true);
      call.attempts = CALLER_ATTEMPTS;
      this.#call(call);
    });
  }

  #planLoss({ at, share }: RankLoss): void {
    this.#queue.after(at, () => {
      const all = this.#ranks.listed;
      const first = this.#random.nextBelow(all.length);
      const lost = Math.ceil(all.length * share);
      const ranks = Array.from(
        { length: lost },
        (_, number) => all[(first + number) % all.length] as RankIncarnation,
      );
      this.#ranks.crash(ranks);
    });
  }

  #createCall(body: string, crashes: boolean): Call {
    const until = this.#queue.now + CLIENT_DEADLINE_MS;
    return { body, crashes, until, attempts: 0 };
  }

  /** Sends a request to a random entry. */
  #call(call: Call): void {
    const leftMs = call.until - this.#queue.now;
    if (leftMs <= 0) return;
    call.attempts++;
    const id = ++this.#requests;
    this.#calls.set(id, call);
    const entry = this
      .#entries[this.#random.nextBelow(this.#entries.length)] as EntryReducer;
    this.#reduce(entry, {
      kind: "request_arrived",
      now: this.#queue.now,
      request: createCallerRequest({
        id,
        body: Buffer.from(call.body),
        deadlineMs: leftMs,
      }),
    });
  }

  #reduce(entry: EntryReducer, event: EntryEvent): void {
    for (const effect of entry.reduce(event)) this.#perform(entry, effect);
  }

  #perform(entry: EntryReducer, effect: EntryEffect): void {
    switch (effect.kind) {
      case "send":
        if (effect.message.kind === "submit") {
          this.#submit(entry, effect.targetName, effect.message);
        }
        return;
      case "whole_answer":
        this.#served++;
        return;
      case "refuse_request":
        return this.#refused(
          effect.requestId,
          effect.problem.reason as RefusalName,
        );
      case "memories_changed":
        return this.#tellCrashes(entry);
      default:
        return;
    }
  }

  #submit(
    entry: EntryReducer,
    targetName: string,
    { requestId, attempt }: SubmitMessage,
  ): void {
    const { crashes } = this.#calls.get(requestId) as Call;
    this.#ranks.run(targetName, { crashes }, (end) => {
      const place = { requestId, attempt };
      for (const message of toMessages(place, end)) {
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

  #refused(requestId: number, reason: RefusalName): void {
    const call = this.#calls.get(requestId) as Call;
    if (reason === "CRASHES_TARGETS" && !call.crashes) {
      this.#refusedInnocent.add(call.body);
    }
    if (call.attempts >= CALLER_ATTEMPTS) return;
    this.#queue.after(RETURN_MS, () => this.#call(call));
  }

  #tellCrashes(from: EntryReducer): void {
    const told = (this.#told.get(from) ?? 0) + 1;
    this.#told.set(from, told);
    if (told > TOLD_LIMIT) return;
    const requests = from.crashes.list();
    for (const entry of this.#entries) {
      if (entry === from) continue;
      const delay = TOLD_MS.least + this.#random.nextBelow(TOLD_MS.spread);
      this.#queue.after(delay, () => {
        const { now } = this.#queue;
        this.#reduce(entry, { kind: "crashes_told", now, requests });
      });
    }
  }
}

function toMessages(
  place: AttemptIdentity,
  end: RunOutcome,
): readonly AttemptMessage[] {
  switch (end) {
    case "answered":
      return createEmptyAnswer(place);
    case "broken":
      return [createRefused(place, "BACK_END_FAILED")];
    case "group lost":
      return [createRefused(place, "GROUP_CLOSED")];
  }
}
