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
import { createStoreUpdate } from "../direct/peers/store_update.ts";
import { ReaderPolicy } from "../direct/peers/reader_policy.ts";
import { EntryReducer } from "../entry/entry_reducer.ts";
import type { EntryEffect, EntryEvent } from "../entry/types.ts";
import { joinRevision } from "../external/store_revision.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { type DrainFault, isFaultActive } from "./drain_faults.ts";
import { DrainStoreModel } from "./drain_store_model.ts";
import { EventQueue } from "./event_queue.ts";
import {
  type AttemptIdentity,
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "./fixtures.ts";
import { createSocketAddress } from "./socket_addresses.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

/** When the operator drains the failure domain, in virtual milliseconds. */
export const DRAINED_AT_MS = 4000;
/** The failure domain that is drained. */
export const DRAINED_DOMAIN = "domain-1";
/** Number of failure domains; each has entries and targets. */
const DOMAINS = 3;
const TARGETS_PER_DOMAIN = 4;
const ACTION_INTERVAL_MS = 50;
/**
 * A reader's answer is trusted if its settings are no older than this factor times the
 * leaving limit.
 */
const MAX_SETTINGS_AGE_FACTOR = 1.2;
const MESSAGE_DELAY_MS = {
  min: 1,
  normal: 12,
  late: 900,
  lateFraction: 0.05,
} as const;
const MEAN_RUN_MS = 120;
/** Fraction of attempts that fail, so that requests are retried. */
const FAILURE_PROBABILITY = 0.2;

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
  readonly arrivalsBeforeDrain: number;
  /**
   * Milliseconds from the operator's write to the last arrival at a drained target from
   * an entry that was not frozen.
   */
  readonly lastArrivalMs: number;
  /**
   * Milliseconds from the operator's write until the last entry that was not frozen had
   * the drain permanently in force; infinite if one entry never had.
   */
  readonly lastInForceMs: number;
  /** Requests that were refused because no target was available. */
  readonly unservedRequests: number;
}

interface FleetEntry {
  readonly number: number;
  readonly name: string;
  readonly address: SocketAddress;
  readonly failureDomain: string;
  readonly readerPolicy: ReaderPolicy;
  readonly reducer: EntryReducer;
  readonly drains: DrainedDomains;
  /** Entries that query this entry, with the revision of the drains that each has. */
  readonly followers: Map<FleetEntry, number>;
  reader: string | undefined;
  inForce: string;
  checkedAt: number;
  listedAt: number;
  isReached: boolean;
  isFollowingReader: boolean;
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
  #unservedRequests = 0;
  #arrivalsBeforeDrain = 0;
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
      isUnstable: () => this.#hasFault(undefined, "unstable_store"),
    });
    this.#entries = Array.from(
      { length: options.entries },
      (_, number) => this.#createEntry(number),
    );
    this.#byAddress = new Map(this.#entries.map((one) => [one.address, one]));
    for (const entry of this.#entries) this.#start(entry);
    this.#scheduleRequest();
    this.#queue.after(DRAINED_AT_MS, () => this.#store.drain(DRAINED_DOMAIN));
    for (const { kind, at, forMs } of options.faults) {
      if (kind !== "store_goes_back") continue;
      this.#queue.after(at, () => this.#store.restoreOlderCopy());
      this.#queue.after(at + forMs, () => this.#store.drain(DRAINED_DOMAIN));
    }
  }

  /** Runs up to a virtual time in milliseconds. */
  run(untilMs: number): DrainFleetResult {
    this.#queue.runUntil(untilMs);
    return {
      requests: this.#requests,
      arrivalsBeforeDrain: this.#arrivalsBeforeDrain,
      lastArrivalMs: this.#lastArrivalMs,
      lastInForceMs: this.#entries.every((one) => this.#isInForceAt(one))
        ? this.#lastInForceMs
        : Number.POSITIVE_INFINITY,
      unservedRequests: this.#unservedRequests,
    };
  }

  get #now(): number {
    return this.#queue.now;
  }

  #createEntry(number: number): FleetEntry {
    const failureDomain = getFailureDomain(number);
    const name = `entry-${String(number).padStart(3, "0")}`;
    const { seed, leavingLimitMs } = this.#options;
    const random = new RandomSource(seed * 10_000 + number);
    return {
      number,
      name,
      address: createSocketAddress(`${name}:1`),
      failureDomain,
      readerPolicy: new ReaderPolicy(leavingLimitMs),
      reducer: new EntryReducer({ failureDomain, entryName: name, random }),
      drains: new DrainedDomains(),
      followers: new Map(),
      reader: undefined,
      inForce: "",
      checkedAt: Number.NEGATIVE_INFINITY,
      listedAt: Number.NEGATIVE_INFINITY,
      isReached: false,
      isFollowingReader: true,
      hasListed: false,
    };
  }

  #start(entry: FleetEntry): void {
    entry.readerPolicy.setCandidates(
      listReaderCandidates(this.#entries, entry),
    );
    const service = ["idempotentMethods: [POST]", "retryShare: 1"];
    const routes = createRoutes({ service });
    this.#reduce(entry, { kind: "settings_in_force", now: 0, routes });
    const instances = Array.from(
      { length: DOMAINS * TARGETS_PER_DOMAIN },
      (_, target) =>
        createInstance(`target-${target}`, {
          failureDomain: getFailureDomain(target),
        }),
    );
    this.#reduce(entry, { kind: "instances_listed", now: 0, instances });
    this.#store.follow(entry.number, {
      isFollowing: () => !entry.isFollowingReader,
      isRunning: () => !this.#hasFault(entry, "stands_still"),
      isSilent: () => this.#hasFault(entry, "silent_watch"),
      onRead: ({ revision, era, drained, askedAt }) => {
        entry.checkedAt = Math.max(entry.checkedAt, askedAt);
        const joined = joinRevision({ era, revision });
        const failureDomains = [...drained];
        entry.drains.apply({ revision: joined, failureDomains }, this.#now);
        this.#applyDrains(entry);
      },
    });
    this.#queue.after(
      this.#random.nextBelow(ACTION_INTERVAL_MS),
      () => this.#runAction(entry),
    );
  }

  #runAction(entry: FleetEntry): void {
    this.#queue.after(ACTION_INTERVAL_MS, () => this.#runAction(entry));
    if (this.#hasFault(entry, "stands_still")) return;
    if (entry.reducer.inFlight > 0) {
      this.#reduce(entry, { kind: "tick", now: this.#now });
    }
    const action = entry.readerPolicy.nextAction(this.#now);
    if (action.kind === "list") this.#listStore(entry);
    if (action.kind === "ask") this.#query(entry, action.address);
  }

  #listStore(entry: FleetEntry): void {
    if (entry.hasListed) this.#setFollowingReader(entry, false);
    entry.hasListed = true;
    const askedAt = this.#now;
    this.#store.call((isAnswered) => {
      entry.isReached = isAnswered;
      if (!isAnswered) return;
      entry.readerPolicy.recordListing(askedAt);
      entry.listedAt = Math.max(entry.listedAt, askedAt);
    });
  }

  #setFollowingReader(entry: FleetEntry, isFollowingReader: boolean): void {
    if (entry.isFollowingReader === isFollowingReader) return;
    entry.isFollowingReader = isFollowingReader;
    if (!isFollowingReader) this.#store.listAgain(entry.number);
  }

  #query(querier: FleetEntry, address: SocketAddress): void {
    const peer = this.#byAddress.get(address);
    if (peer === undefined) return;
    querier.reader = address;
    const askedAt = this.#now;
    this.#deliver(
      querier,
      peer,
      () => this.#answerQuery(peer, querier, askedAt),
    );
  }

  #answerQuery(peer: FleetEntry, querier: FleetEntry, askedAt: number): void {
    const drainsRevision = querier.drains.stored?.revision;
    const update = this.#createUpdate(peer, drainsRevision);
    peer.followers.set(querier, peer.drains.stored?.revision ?? 0);
    this.#deliver(peer, querier, () => {
      const { drains, settingsAgeMs = Infinity, isReading } = update;
      if (drains !== undefined) querier.drains.apply(drains, this.#now);
      const checkedAt = askedAt - settingsAgeMs;
      querier.checkedAt = Math.max(querier.checkedAt, checkedAt);
      const maxAgeMs = this.#options.leavingLimitMs * MAX_SETTINGS_AGE_FACTOR;
      const isUsable = isReading && settingsAgeMs <= maxAgeMs;
      const ageMs = isUsable ? update.directory?.ageMs : undefined;
      querier.readerPolicy.recordAnswer(
        peer.address,
        { askedAt, ageMs },
        this.#now,
      );
      if (ageMs !== undefined) {
        querier.listedAt = Math.max(querier.listedAt, askedAt - ageMs);
      }
      if (querier.readerPolicy.isFollowingReader) {
        this.#setFollowingReader(querier, true);
      }
      this.#applyDrains(querier);
    });
  }

  #createUpdate(entry: FleetEntry, drainsRevision: number | undefined) {
    const knownState = {
      isReading: entry.readerPolicy.isFollowingReader || entry.isReached,
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
    return createStoreUpdate(knownState, { drainsRevision }, this.#now);
  }

  /**
   * Puts the known drains in force and sends them to the entries that follow this one.
   */
  #applyDrains(entry: FleetEntry): void {
    const { drains, reducer } = entry;
    const failureDomains = drains.listInForce(this.#now);
    if (failureDomains.join(" ") !== entry.inForce) {
      entry.inForce = failureDomains.join(" ");
      const now = this.#now;
      if (entry.inForce !== "") this.#lastInForceMs = now - DRAINED_AT_MS;
      const kind = "failure_domains_drained";
      this.#perform(entry, reducer.reduce({ kind, now, failureDomains }));
      const end = drains.nextExpiry;
      if (end !== undefined && end > now) {
        this.#queue.after(end - now + 1, () => this.#applyDrains(entry));
      }
    }
    for (const [follower, knownRevision] of entry.followers) {
      const update = this.#createUpdate(entry, knownRevision);
      if (update.drains === undefined) continue;
      const updatedDrains = update.drains;
      entry.followers.set(follower, updatedDrains.revision);
      if (follower.reader !== entry.address) continue;
      this.#deliver(entry, follower, () => {
        follower.drains.apply(updatedDrains, this.#now);
        this.#applyDrains(follower);
      });
    }
  }

  #isInForceAt(entry: FleetEntry): boolean {
    return entry.inForce === DRAINED_DOMAIN ||
      this.#hasFault(entry, "stands_still");
  }

  /**
   * Delivers a message after a random delay. Messages to a frozen VM wait there; messages
   * to or from an entry that is cut off are lost.
   */
  #deliver(from: FleetEntry, to: FleetEntry, run: () => void): void {
    const { min, normal, late, lateFraction } = MESSAGE_DELAY_MS;
    const isLate = this.#random.nextFraction() < lateFraction;
    const delayMs = min + this.#random.nextBelow(isLate ? late : normal);
    if (this.#hasFault(from, "cut_off") || this.#hasFault(to, "cut_off")) {
      return;
    }
    this.#queue.after(delayMs, () => this.#receive(to, run));
  }

  #receive(to: FleetEntry, run: () => void): void {
    if (!this.#hasFault(to, "stands_still")) return run();
    this.#queue.after(ACTION_INTERVAL_MS, () => this.#receive(to, run));
  }

  #scheduleRequest(): void {
    const meanMs = 1000 / this.#options.requestsPerSecond;
    this.#queue.after(this.#random.nextExponential(meanMs), () => {
      this.#scheduleRequest();
      const number = this.#random.nextBelow(this.#entries.length);
      const entry = this.#entries[number] as FleetEntry;
      if (this.#hasFault(entry, "stands_still")) return;
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
      if (isUnserved) this.#unservedRequests++;
      const isSent = effect.kind === "send" && effect.message.kind === "submit";
      if (!isSent) continue;
      const { requestId, attempt } = effect.message;
      this.#submit(entry, effect.targetName, { requestId, attempt });
    }
  }

  #submit(
    entry: FleetEntry,
    targetName: string,
    attemptId: AttemptIdentity,
  ): void {
    const { min, normal } = MESSAGE_DELAY_MS;
    this.#queue.after(min + this.#random.nextBelow(normal), () => {
      this.#recordArrival(targetName);
      const hasFailed = this.#random.nextFraction() < FAILURE_PROBABILITY;
      const messages = hasFailed
        ? [createRefused(attemptId, "BACK_END_FAILED")]
        : createEmptyAnswer(attemptId);
      this.#queue.after(this.#random.nextExponential(MEAN_RUN_MS), () => {
        for (const message of messages) {
          const now = this.#now;
          const kind = "message_received";
          this.#reduce(entry, { kind, now, targetName, message });
        }
      });
    });
  }

  #recordArrival(targetName: string): void {
    const target = Number(targetName.slice("target-".length));
    if (getFailureDomain(target) !== DRAINED_DOMAIN) return;
    if (this.#now < DRAINED_AT_MS) this.#arrivalsBeforeDrain++;
    else this.#lastArrivalMs = this.#now - DRAINED_AT_MS;
  }

  #hasFault(entry: FleetEntry | undefined, kind: DrainFault["kind"]): boolean {
    const { faults } = this.#options;
    return isFaultActive(faults, {
      kind,
      entry: entry?.number,
      now: this.#now,
    });
  }
}

function getFailureDomain(number: number): string {
  return `domain-${number % DOMAINS}`;
}
