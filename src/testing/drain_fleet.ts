/**
 * Simulates entries that learn of a drained failure domain from the platform's store or
 * from each other while they send requests, in virtual time. The store becomes unstable
 * or is restored from an older copy, watches get no answer, and VMs are frozen or cut off
 * from the others.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { DrainedDomains } from "../direct/drained_domains.ts";
import { listReaderCandidates } from "../direct/peers/peer_choice.ts";
import { createNews } from "../direct/peers/peer_server.ts";
import { ReaderTurns } from "../direct/peers/reader_turns.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import { joinRevision } from "../external/store_revision.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { type DrainFault, hasFault } from "./drain_faults.ts";
import { DrainStoreModel } from "./drain_store_model.ts";
import { EventQueue } from "./event_queue.ts";
import {
  type AttemptPlace,
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "./fixtures.ts";

/** When the operator drains the failure domain, in virtual milliseconds. */
export const DRAINED_AT_MS = 4000;
/** The failure domain that is drained. */
export const DRAINED_DOMAIN = "domain-1";
/** Number of failure domains; each has entries and targets. */
const DOMAINS = 3;
const TARGETS_PER_DOMAIN = 4;
const TURN_MS = 50;
/**
 * A reader's answer is trusted if its settings are no older than this factor times the
 * leaving limit.
 */
const OLDEST_SETTINGS_PART = 1.2;
const MESSAGE_MS = { least: 1, usual: 12, late: 900, lateShare: 0.05 } as const;
const WORK_MS = 120;
/** Fraction of attempts that fail, so that requests are retried. */
const FAILED_SHARE = 0.2;

const UNSERVED_REASONS: ReadonlySet<RefusalName> = new Set([
  "NO_TARGET",
  "DOMAINS_DRAINED",
]);

/** Options of a {@link DrainFleet}. */
export interface DrainFleetOptions {
  readonly seed: number;
  readonly entries: number;
  /** Request rate of all callers together. */
  readonly requestsPerSecond: number;
  /** Milliseconds for which requests may be sent to a back end that is leaving. */
  readonly leavingLimitMs: number;
  readonly faults: readonly DrainFault[];
}

/** Results of a run. */
export interface DrainFleetResult {
  readonly requests: number;
  /**
   * Requests that reached targets of the drained domain before the operator drained it.
   */
  readonly arrivalsBefore: number;
  /**
   * Milliseconds from the operator's write to the last arrival at a drained target from
   * an entry that was not frozen.
   */
  readonly lastArrivalMs: number;
  /**
   * Milliseconds from the operator's write until the last entry that was not frozen had
   * the drain in force for good; infinite if one entry never had.
   */
  readonly lastInForceMs: number;
  /** Requests that were refused because no target was available. */
  readonly unserved: number;
}

interface FleetEntry {
  readonly number: number;
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly turns: ReaderTurns;
  readonly reducer: EntryReducer;
  readonly drains: DrainedDomains;
  /** Entries that query this entry, with the revision of the drains that each has. */
  readonly followers: Map<FleetEntry, number>;
  reader: string | undefined;
  inForce: string;
  checkedAt: number;
  listedAt: number;
  isReached: boolean;
  isLed: boolean;
  hasListed: boolean;
}

/** A fleet of entries that learn of a drained failure domain. */
export class DrainFleet {
  readonly #options: DrainFleetOptions;
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #store: DrainStoreModel;
  readonly #entries: readonly FleetEntry[];
  readonly #byAddress: ReadonlyMap<string, FleetEntry>;
  #requests = 0;
  #unserved = 0;
  #arrivalsBefore = 0;
  #lastArrivalMs = 0;
  #lastInForceMs = 0;

  /** Creates the fleet; the same options give the same run. */
  constructor(options: DrainFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#store = new DrainStoreModel({
      queue: this.#queue,
      random: this.#random,
      watchWaitMs: options.leavingLimitMs / 2,
      isUnstable: () => this.#has(undefined, "unstable_store"),
    });
    this.#entries = Array.from(
      { length: options.entries },
      (_, number) => this.#createEntry(number),
    );
    this.#byAddress = new Map(this.#entries.map((one) => [one.address, one]));
    for (const entry of this.#entries) this.#start(entry);
    this.#planCaller();
    this.#queue.after(DRAINED_AT_MS, () => this.#store.drain(DRAINED_DOMAIN));
    for (const { kind, at, forMs } of options.faults) {
      if (kind !== "store_goes_back") continue;
      this.#queue.after(at, () => this.#store.goBack());
      this.#queue.after(at + forMs, () => this.#store.drain(DRAINED_DOMAIN));
    }
  }

  /** Runs up to a virtual time in milliseconds. */
  run(untilMs: number): DrainFleetResult {
    this.#queue.runUntil(untilMs);
    return {
      requests: this.#requests,
      arrivalsBefore: this.#arrivalsBefore,
      lastArrivalMs: this.#lastArrivalMs,
      lastInForceMs: this.#entries.every((one) => this.#isInForceAt(one))
        ? this.#lastInForceMs
        : Number.POSITIVE_INFINITY,
      unserved: this.#unserved,
    };
  }

  get #now(): number {
    return this.#queue.now;
  }

  #createEntry(number: number): FleetEntry {
    const failureDomain = domainOf(number);
    const name = `entry-${String(number).padStart(3, "0")}`;
    const { seed, leavingLimitMs } = this.#options;
    const random = new RandomSource(seed * 10_000 + number);
    return {
      number,
      name,
      address: `${name}:1`,
      failureDomain,
      turns: new ReaderTurns(leavingLimitMs),
      reducer: new EntryReducer({ failureDomain, entryName: name, random }),
      drains: new DrainedDomains(),
      followers: new Map(),
      reader: undefined,
      inForce: "",
      checkedAt: Number.NEGATIVE_INFINITY,
      listedAt: Number.NEGATIVE_INFINITY,
      isReached: false,
      isLed: true,
      hasListed: false,
    };
  }

  #start(entry: FleetEntry): void {
    entry.turns.setCandidates(listReaderCandidates(this.#entries, entry));
    const service = ["idempotentMethods: [POST]", "retryShare: 1"];
    const routes = createRoutes({ service });
    this.#reduce(entry, { kind: "settings_in_force", now: 0, routes });
    const instances = Array.from(
      { length: DOMAINS * TARGETS_PER_DOMAIN },
      (_, target) =>
        createInstance(`target-${target}`, { failureDomain: domainOf(target) }),
    );
    this.#reduce(entry, { kind: "instances_listed", now: 0, instances });
    this.#store.follow(entry.number, {
      isFollowing: () => !entry.isLed,
      isRunning: () => !this.#has(entry, "stands_still"),
      isSilent: () => this.#has(entry, "silent_watch"),
      onRead: ({ revision, era, drained, askedAt }) => {
        entry.checkedAt = Math.max(entry.checkedAt, askedAt);
        const joined = joinRevision({ era, revision });
        const failureDomains = [...drained];
        entry.drains.take({ revision: joined, failureDomains }, this.#now);
        this.#drainsChanged(entry);
      },
    });
    this.#queue.after(
      this.#random.nextBelow(TURN_MS),
      () => this.#turn(entry),
    );
  }

  #turn(entry: FleetEntry): void {
    this.#queue.after(TURN_MS, () => this.#turn(entry));
    if (this.#has(entry, "stands_still")) return;
    if (entry.reducer.inFlight > 0) {
      this.#reduce(entry, { kind: "tick", now: this.#now });
    }
    const turn = entry.turns.next(this.#now);
    if (turn.kind === "list") this.#list(entry);
    if (turn.kind === "ask") this.#ask(entry, turn.address);
  }

  #list(entry: FleetEntry): void {
    if (entry.hasListed) this.#setLed(entry, false);
    entry.hasListed = true;
    const askedAt = this.#now;
    this.#store.call((isAnswered) => {
      entry.isReached = isAnswered;
      if (!isAnswered) return;
      entry.turns.noteListed(askedAt);
      entry.listedAt = Math.max(entry.listedAt, askedAt);
    });
  }

  #setLed(entry: FleetEntry, isLed: boolean): void {
    if (entry.isLed === isLed) return;
    entry.isLed = isLed;
    if (!isLed) this.#store.readAnew(entry.number);
  }

  #ask(asker: FleetEntry, address: string): void {
    const asked = this.#byAddress.get(address);
    if (asked === undefined) return;
    asker.reader = address;
    const askedAt = this.#now;
    this.#cross(asker, asked, () => this.#answer(asked, asker, askedAt));
  }

  #answer(asked: FleetEntry, asker: FleetEntry, askedAt: number): void {
    const drainsRevision = asker.drains.stored?.revision;
    const news = this.#createNews(asked, drainsRevision);
    asked.followers.set(asker, asked.drains.stored?.revision ?? 0);
    this.#cross(asked, asker, () => {
      const { drains, settingsAgeMs = Infinity, isReading } = news;
      if (drains !== undefined) asker.drains.take(drains, this.#now);
      const checkedAt = askedAt - settingsAgeMs;
      asker.checkedAt = Math.max(asker.checkedAt, checkedAt);
      const oldestMs = this.#options.leavingLimitMs * OLDEST_SETTINGS_PART;
      const isFit = isReading && settingsAgeMs <= oldestMs;
      const ageMs = isFit ? news.directory?.ageMs : undefined;
      asker.turns.noteAnswer(asked.address, { askedAt, ageMs }, this.#now);
      if (ageMs !== undefined) {
        asker.listedAt = Math.max(asker.listedAt, askedAt - ageMs);
      }
      if (asker.turns.isLed) this.#setLed(asker, true);
      this.#drainsChanged(asker);
    });
  }

  #createNews(entry: FleetEntry, drainsRevision: number | undefined) {
    const knowledge = {
      isReading: entry.turns.isLed || entry.isReached,
      settings: undefined,
      settingsCheckedAt: entry.checkedAt,
      drains: entry.drains.stored,
      directory: {
        instances: [],
        revision: 1,
        content: "",
        askedAt: entry.listedAt,
      },
      processes: { revision: 0, processes: [] },
    };
    return createNews(knowledge, { drainsRevision }, this.#now);
  }

  /**
   * Puts the known drains in force and sends them to the entries that follow this one.
   */
  #drainsChanged(entry: FleetEntry): void {
    const { drains, reducer } = entry;
    const failureDomains = drains.listInForce(this.#now);
    if (failureDomains.join(" ") !== entry.inForce) {
      entry.inForce = failureDomains.join(" ");
      const now = this.#now;
      if (entry.inForce !== "") this.#lastInForceMs = now - DRAINED_AT_MS;
      const kind = "failure_domains_drained";
      this.#perform(entry, reducer.reduce({ kind, now, failureDomains }));
      const end = drains.nextEnd;
      if (end !== undefined && end > now) {
        this.#queue.after(end - now + 1, () => this.#drainsChanged(entry));
      }
    }
    for (const [follower, known] of entry.followers) {
      const news = this.#createNews(entry, known);
      if (news.drains === undefined) continue;
      const told = news.drains;
      entry.followers.set(follower, told.revision);
      if (follower.reader !== entry.address) continue;
      this.#cross(entry, follower, () => {
        follower.drains.take(told, this.#now);
        this.#drainsChanged(follower);
      });
    }
  }

  #isInForceAt(entry: FleetEntry): boolean {
    return entry.inForce === DRAINED_DOMAIN || this.#has(entry, "stands_still");
  }

  /**
   * Delivers a message after a random delay. Messages to a frozen VM wait there; messages
   * to or from an entry that is cut off are lost.
   */
  #cross(from: FleetEntry, to: FleetEntry, run: () => void): void {
    const { least, usual, late, lateShare } = MESSAGE_MS;
    const isLate = this.#random.nextFraction() < lateShare;
    const tookMs = least + this.#random.nextBelow(isLate ? late : usual);
    if (this.#has(from, "cut_off") || this.#has(to, "cut_off")) return;
    this.#queue.after(tookMs, () => this.#arrive(to, run));
  }

  #arrive(to: FleetEntry, run: () => void): void {
    if (!this.#has(to, "stands_still")) return run();
    this.#queue.after(TURN_MS, () => this.#arrive(to, run));
  }

  #planCaller(): void {
    const meanMs = 1000 / this.#options.requestsPerSecond;
    this.#queue.after(this.#random.nextExponential(meanMs), () => {
      this.#planCaller();
      const number = this.#random.nextBelow(this.#entries.length);
      const entry = this.#entries[number] as FleetEntry;
      if (this.#has(entry, "stands_still")) return;
      const request = createCallerRequest({ id: ++this.#requests });
      const now = this.#now;
      this.#reduce(entry, { kind: "request_arrived", now, request });
    });
  }

  #reduce(entry: FleetEntry, event: EntryEvent): void {
    this.#perform(entry, entry.reducer.reduce(event));
  }

  #perform(entry: FleetEntry, effects: readonly EntryEffect[]): void {
    for (const effect of effects) {
      const isUnserved = effect.kind === "count_refusal" &&
        UNSERVED_REASONS.has(effect.reason);
      if (isUnserved) this.#unserved++;
      const isSent = effect.kind === "send" && effect.message.kind === "submit";
      if (!isSent) continue;
      const { requestId, attempt } = effect.message;
      this.#submit(entry, effect.targetName, { requestId, attempt });
    }
  }

  #submit(entry: FleetEntry, targetName: string, place: AttemptPlace): void {
    const { least, usual } = MESSAGE_MS;
    this.#queue.after(least + this.#random.nextBelow(usual), () => {
      this.#noteArrival(targetName);
      const hasFailed = this.#random.nextFraction() < FAILED_SHARE;
      const messages = hasFailed
        ? [createRefused(place, "BACK_END_FAILED")]
        : createEmptyAnswer(place);
      this.#queue.after(this.#random.nextExponential(WORK_MS), () => {
        for (const message of messages) {
          const now = this.#now;
          const kind = "message_received";
          this.#reduce(entry, { kind, now, targetName, message });
        }
      });
    });
  }

  #noteArrival(targetName: string): void {
    const target = Number(targetName.slice("target-".length));
    if (domainOf(target) !== DRAINED_DOMAIN) return;
    if (this.#now < DRAINED_AT_MS) this.#arrivalsBefore++;
    else this.#lastArrivalMs = this.#now - DRAINED_AT_MS;
  }

  #has(entry: FleetEntry | undefined, kind: DrainFault["kind"]): boolean {
    const { faults } = this.#options;
    return hasFault(faults, { kind, entry: entry?.number, now: this.#now });
  }
}

function domainOf(number: number): string {
  return `domain-${number % DOMAINS}`;
}
