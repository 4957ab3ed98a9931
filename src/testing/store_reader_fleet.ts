/**
 * Simulates entries that read the platform's store for each other, in virtual time. VMs
 * are frozen, rejected by the store or cut off from the others, and answers arrive late.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import {
  type ListedEntry,
  listReaderCandidates,
} from "../direct/peers/peer_choice.ts";
import { ReaderPolicy } from "../direct/peers/reader_policy.ts";
import { EventQueue } from "./event_queue.ts";
import { createSocketAddress } from "./socket_addresses.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

const ACTION_INTERVAL_MS = 50;
const STORE_DELAY_MS = 5;
const LATE_FRACTION = 0.05;
const MAX_LATE_DELAY_MS = 900;
const MAX_DELAY_MS = 12;

/** A fault of an entry's VM. */
export interface FleetFault {
  readonly kind: "stands_still" | "turned_away" | "cut_off";
  /** Number of the entry, from 0. */
  readonly entry: number;
  readonly at: number;
  readonly forMs: number;
}

/** Options of a {@link StoreReaderFleet}. */
export interface StoreReaderFleetOptions {
  readonly seed: number;
  readonly domains: number;
  readonly entriesPerDomain: number;
  /** Milliseconds for which requests may be sent to a back end that is leaving. */
  readonly leavingLimitMs: number;
  readonly faults: readonly FleetFault[];
}

/** Results of a run. */
export interface StoreReaderFleetResult {
  /** Number of lists that entries requested from the store. */
  readonly lists: number;
  /**
   * Maximum age of the state known to an entry that could reach the store all the time.
   */
  readonly maxAgeMs: number;
}

interface Reader {
  readonly self: ListedEntry;
  readonly policy: ReaderPolicy;
  /** The entry knows the state of the store as of this time. */
  knownAt: number;
  /** Whether the store answered the entry's last list. */
  isReached: boolean;
  /**
   * Until when the known state may be old, because the entry could not reach the store.
   */
  excusedUntil: number;
}

/** Entries that read the store for each other. */
export class StoreReaderFleet {
  readonly #options: StoreReaderFleetOptions;
  readonly #random: RandomSource;
  readonly #queue = new EventQueue();
  readonly #readers: readonly Reader[];
  #lists = 0;
  #maxAgeMs = 0;

  /** Creates the entries; the same options give the same run. */
  constructor(options: StoreReaderFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    const entries = createEntries(options);
    this.#readers = entries.map((self) => {
      const policy = new ReaderPolicy(options.leavingLimitMs);
      policy.setCandidates(listReaderCandidates(entries, self));
      const excusedUntil = options.leavingLimitMs;
      return { self, policy, knownAt: 0, excusedUntil, isReached: false };
    });
    for (const reader of this.#readers) {
      this.#queue.after(
        this.#random.nextBelow(ACTION_INTERVAL_MS),
        () => this.#runAction(reader),
      );
    }
  }

  /** Runs up to a virtual time in milliseconds. */
  run(untilMs: number): StoreReaderFleetResult {
    this.#queue.runUntil(untilMs);
    return { lists: this.#lists, maxAgeMs: this.#maxAgeMs };
  }

  get #now(): number {
    return this.#queue.now;
  }

  #runAction(reader: Reader): void {
    this.#queue.after(ACTION_INTERVAL_MS, () => this.#runAction(reader));
    const { leavingLimitMs } = this.#options;
    const reachesStore = !this.#hasFault(reader, "turned_away");
    if (this.#hasFault(reader, "stands_still") || !reachesStore) {
      reader.excusedUntil = this.#now + leavingLimitMs;
    }
    if (this.#hasFault(reader, "stands_still")) return;
    if (!reachesStore) this.#receiveFromPeer(reader);
    if (this.#now >= reader.excusedUntil) {
      const ageMs = this.#now - reader.knownAt;
      this.#maxAgeMs = Math.max(this.#maxAgeMs, ageMs);
    }
    const action = reader.policy.nextAction(this.#now);
    if (action.kind === "list") this.#list(reader, reachesStore);
    if (action.kind === "ask") this.#query(reader, action.address);
  }

  /** An entry that the store rejects receives the state that a random peer knows. */
  #receiveFromPeer(reader: Reader): void {
    const peer = this.#readers[this.#random.nextBelow(this.#readers.length)];
    if (peer === undefined || this.#hasFault(peer, "stands_still")) return;
    reader.knownAt = Math.max(reader.knownAt, peer.knownAt);
  }

  #list(reader: Reader, reachesStore: boolean): void {
    this.#lists++;
    const askedAt = this.#now;
    reader.isReached = reachesStore;
    if (!reachesStore) return;
    this.#queue.after(STORE_DELAY_MS, () => {
      reader.policy.recordListing(askedAt);
      reader.knownAt = Math.max(reader.knownAt, askedAt);
    });
  }

  #query(querier: Reader, address: SocketAddress): void {
    const peer = this.#readers.find(({ self }) => self.address === address);
    if (peer === undefined) return;
    const askedAt = this.#now;
    this.#deliver(querier, peer, () => {
      const answeredAt = this.#now;
      const { knownAt } = peer;
      const isReading = peer.isReached || peer.policy.isFollowingReader;
      this.#deliver(peer, querier, () => {
        const ageMs = isReading ? answeredAt - knownAt : undefined;
        const answer = { askedAt, ageMs };
        querier.policy.recordAnswer(address, answer, this.#now);
        querier.knownAt = Math.max(querier.knownAt, knownAt);
      });
    });
  }

  /**
   * Delivers a message after a random delay. Messages to a frozen VM wait there; messages
   * to or from an entry that is cut off are lost.
   */
  #deliver(from: Reader, to: Reader, run: () => void): void {
    const isLate = this.#random.nextFraction() < LATE_FRACTION;
    const latencyMs = 1 +
      this.#random.nextBelow(isLate ? MAX_LATE_DELAY_MS : MAX_DELAY_MS);
    const isCut = this.#hasFault(from, "cut_off") ||
      this.#hasFault(to, "cut_off");
    if (isCut) return;
    this.#queue.after(latencyMs, () => this.#receive(to, run));
  }

  #receive(to: Reader, run: () => void): void {
    if (!this.#hasFault(to, "stands_still")) return run();
    this.#queue.after(ACTION_INTERVAL_MS, () => this.#receive(to, run));
  }

  #hasFault({ self }: Reader, kind: FleetFault["kind"]): boolean {
    return this.#options.faults.some((fault) =>
      fault.kind === kind && this.#now >= fault.at &&
      this.#now < fault.at + fault.forMs &&
      this.#readers[fault.entry]?.self === self
    );
  }
}

function createEntries(
  { domains, entriesPerDomain }: StoreReaderFleetOptions,
): readonly ListedEntry[] {
  return Array.from(
    { length: domains },
    (_, domain) =>
      Array.from({ length: entriesPerDomain }, (_, index) => {
        const name = `entry-${domain}-${index}`;
        const address = createSocketAddress(`${name}:1`);
        return { name, address, failureDomain: `domain-${domain}` };
      }),
  ).flat();
}
