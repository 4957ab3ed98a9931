/**
 * Simulates entries that send to rank groups, in virtual time: callers that retry,
 * requests that crash each rank that runs them, and ranks that crash for other reasons.
 * Entries receive lists, states of groups and each other's crashes with realistic delays.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { CallerRequest, EntryEffect, EntryEvent } from "../entry/types.ts";
import type { AttemptMessage, SubmitMessage } from "../messages/types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import {
  CrashingRanks,
  type RankIncarnation,
  type RunOutcome,
} from "./crashing_ranks.ts";
import { EventQueue } from "./event_queue.ts";
import { CALLER_DEADLINE_MS, PoisonCallers } from "./poison_callers.ts";
import type {
  EntryLoss,
  PoisonFleetOptions,
  PoisonFleetResult,
  RankLoss,
} from "./poison_fleet_types.ts";
import {
  type AttemptIdentity,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "./fixtures.ts";

const LIST_INTERVAL_MS = 700;
const MAX_GROUP_DELAY_MS = 150;
/** Milliseconds between two reports on whether a group runs. */
const GROUP_REPORT_INTERVAL_MS = 500;
/**
 * Delay in milliseconds until other entries receive a crash: minimum and random addition.
 */
const UPDATE_DELAY_MS = { min: 20, spread: 300 } as const;
const TICK_MS = 100;
/**
 * Maximum number of updates of an entry that the simulation delivers. Without it, a run
 * in which entries send updates endlessly would not end.
 */
const MAX_UPDATES = 120;

/** Entries that send to rank groups. */
export class PoisonFleet {
  readonly #options: PoisonFleetOptions;
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #ranks: CrashingRanks;
  readonly #entries: EntryReducer[];
  readonly #callers: PoisonCallers;
  readonly #poisonSentAt: number[] = [];
  readonly #sentUpdates = new Map<EntryReducer, number>();

  /** Creates entries without requests. */
  constructor(options: PoisonFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#ranks = new CrashingRanks({
      queue: this.#queue,
      groups: options.groups,
      ranksPerGroup: options.ranksPerGroup,
      samePassMs: options.samePassMs,
      onGroupChanged: (group, isOpen) => this.#sendGroupState(group, isOpen),
    });
    this.#entries = Array.from(
      { length: options.entries },
      (_, number) => this.#createEntry(number),
    );
    this.#callers = new PoisonCallers({
      ...options,
      queue: this.#queue,
      random: this.#random,
      onRequest: (request) => this.#sendToRandomEntry(request),
    });
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
    this.#entries.forEach((_, number) => this.#start(number));
    this.#callers.start(milliseconds);
    for (const loss of this.#options.losses) this.#scheduleLoss(loss);
    for (const restart of this.#options.restarts ?? []) {
      this.#queue.after(restart.at, () => this.#restartEntries(restart));
    }
    this.#queue.runUntil(milliseconds + CALLER_DEADLINE_MS);
    return {
      crashes: this.#ranks.crashedAt.length,
      harmless: this.#callers.harmlessAt.length,
      refusedHarmless: this.#callers.refusedHarmless,
      served: this.#callers.servedAt.length,
      poisonSentAt: this.#poisonSentAt,
      crashedAt: this.#ranks.crashedAt,
      harmlessAt: this.#callers.harmlessAt,
      servedAt: this.#callers.servedAt,
      maxUpdatesSent: Math.max(0, ...this.#sentUpdates.values()),
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
  #start(number: number): void {
    this.#listAll(number);
    this.#repeat(
      this.#random.nextBelow(GROUP_REPORT_INTERVAL_MS),
      GROUP_REPORT_INTERVAL_MS,
      () => {
        for (const { name, isOpen } of this.#ranks.groups) {
          this.#observeGroup(this.#entry(number), name, { isOpen, ageMs: 0 });
        }
      },
    );
    const firstMs = this.#random.nextBelow(LIST_INTERVAL_MS);
    this.#repeat(firstMs, LIST_INTERVAL_MS, () => this.#listInstances(number));
    this.#repeat(
      this.#random.nextBelow(TICK_MS),
      TICK_MS,
      () =>
        this.#reduce(this.#entry(number), {
          kind: "tick",
          now: this.#queue.now,
        }),
    );
  }

  #entry(number: number): EntryReducer {
    return this.#entries[number] as EntryReducer;
  }

  /** Lists targets and ranks, as a process does when it starts. */
  #listAll(number: number): void {
    this.#listInstances(number);
    const ranks = this.#ranks.listed.map(({ address, group }) => ({
      engineAddress: address,
      group,
    }));
    this.#reduce(this.#entry(number), { kind: "ranks_listed", ranks });
  }

  /** New processes receive what the remaining ones have recorded. */
  #restartEntries({ share }: EntryLoss): void {
    const restarted = Math.ceil(this.#entries.length * share);
    for (let number = 0; number < restarted; number++) {
      this.#entries[number] = this.#createEntry(number);
      this.#listAll(number);
    }
    const remaining = this.#entries.at(-1);
    if (share < 1 && remaining !== undefined) this.#replicateCrashes(remaining);
  }

  #repeat(firstMs: number, intervalMs: number, run: () => void): void {
    this.#queue.after(firstMs, () => {
      run();
      this.#repeat(intervalMs, intervalMs, run);
    });
  }

  #listInstances(number: number): void {
    const instances = this.#ranks.listed.map(({ id, address }) =>
      createInstance(id, { address })
    );
    const { now } = this.#queue;
    this.#reduce(this.#entry(number), {
      kind: "instances_listed",
      now,
      instances,
    });
  }

  #sendGroupState(group: string, isOpen: boolean): void {
    const observedAt = this.#queue.now;
    for (const entry of this.#entries) {
      this.#queue.after(this.#random.nextBelow(MAX_GROUP_DELAY_MS), () => {
        const ageMs = this.#queue.now - observedAt;
        this.#observeGroup(entry, group, { isOpen, ageMs });
      });
    }
  }

  #observeGroup(
    entry: EntryReducer,
    group: string,
    state: { readonly isOpen: boolean; readonly ageMs: number },
  ): void {
    this.#reduce(entry, {
      kind: "group_seen",
      now: this.#queue.now,
      observation: { kind: "group_sight", group, ...state },
    });
  }

  #scheduleLoss({ at, share }: RankLoss): void {
    this.#queue.after(at, () => {
      const listedRanks = this.#ranks.listed;
      const first = this.#random.nextBelow(listedRanks.length);
      const lost = Math.ceil(listedRanks.length * share);
      const ranks = Array.from(
        { length: lost },
        (_, number) =>
          listedRanks[(first + number) % listedRanks.length] as RankIncarnation,
      );
      this.#ranks.crash(ranks);
    });
  }

  #sendToRandomEntry(request: CallerRequest): void {
    const number = this.#random.nextBelow(this.#entries.length);
    const { now } = this.#queue;
    this.#reduce(this.#entry(number), {
      kind: "request_arrived",
      now,
      request,
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
        return this.#callers.recordServed();
      case "refuse_request":
        return this.#callers.onRefused(
          effect.requestId,
          effect.problem.reason as RefusalName,
        );
      case "memories_changed":
        return this.#replicateCrashes(entry);
      default:
        return;
    }
  }

  #submit(
    entry: EntryReducer,
    targetName: string,
    { requestId, attempt }: SubmitMessage,
  ): void {
    const crashes = this.#callers.crashesRanks(requestId);
    if (crashes) this.#poisonSentAt.push(this.#queue.now);
    const answerAfterMs = this.#callers.tryGetAnswerMs(requestId);
    const run = { crashes, answerAfterMs };
    this.#ranks.run(targetName, run, (end, lostPeer) => {
      const attemptId = { requestId, attempt };
      // A process that has ended receives no answers.
      if (!this.#entries.includes(entry)) return;
      for (const message of createMessages(attemptId, { end, lostPeer })) {
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

  #replicateCrashes(from: EntryReducer): void {
    const sentUpdates = (this.#sentUpdates.get(from) ?? 0) + 1;
    this.#sentUpdates.set(from, sentUpdates);
    if (sentUpdates > MAX_UPDATES) return;
    const requests = from.crashes.list();
    for (const entry of this.#entries) {
      if (entry === from) continue;
      const delay = UPDATE_DELAY_MS.min +
        this.#random.nextBelow(UPDATE_DELAY_MS.spread);
      this.#queue.after(delay, () => {
        const { now } = this.#queue;
        this.#reduce(entry, { kind: "crashes_told", now, requests });
      });
    }
  }
}

function createMessages(
  attemptId: AttemptIdentity,
  { end, lostPeer }: {
    readonly end: RunOutcome;
    readonly lostPeer: string | undefined;
  },
): readonly AttemptMessage[] {
  switch (end) {
    case "answered":
      return createEmptyAnswer(attemptId);
    case "broken":
      return [createRefused(attemptId, "BACK_END_FAILED")];
    case "group lost":
      return [{ ...createRefused(attemptId, "GROUP_CLOSED"), lostPeer }];
  }
}
