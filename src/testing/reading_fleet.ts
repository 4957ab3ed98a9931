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
import { ReaderTurns } from "../direct/peers/reader_turns.ts";
import { EventQueue } from "./event_queue.ts";

const TURN_MS = 50;
const STORE_MS = 5;
const LATE_SHARE = 0.05;
const LATE_MS = 900;
const USUAL_MS = 12;

/** A fault of an entry's VM. */
export interface FleetFault {
  readonly kind: "stands_still" | "turned_away" | "cut_off";
  /** Number of the entry, from 0. */
  readonly entry: number;
  readonly at: number;
  readonly forMs: number;
}

/** Options of a {@link ReadingFleet}. */
export interface ReadingFleetOptions {
  readonly seed: number;
  readonly domains: number;
  readonly entriesPerDomain: number;
  /** Milliseconds for which requests may be sent to a back end that is leaving. */
  readonly leavingLimitMs: number;
  readonly faults: readonly FleetFault[];
}

/** Results of a run. */
export interface ReadingFleetResult {
  /** Number of lists that entries requested from the store. */
  readonly lists: number;
  /**
   * Maximum age of the state known to an entry that could reach the store all the time.
   */
  readonly oldestMs: number;
}

interface Reader {
  readonly self: ListedEntry;
  readonly turns: ReaderTurns;
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
export class ReadingFleet {
  readonly #options: ReadingFleetOptions;
  readonly #random: RandomSource;
  readonly #queue = new EventQueue();
  readonly #readers: readonly Reader[];
  #lists = 0;
  #oldestMs = 0;

  /** Creates the entries; the same options give the same run. */
  constructor(options: ReadingFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    const entries = createEntries(options);
    this.#readers = entries.map((self) => {
      const turns = new ReaderTurns(options.leavingLimitMs);
      turns.setCandidates(listReaderCandidates(entries, self));
      const excusedUntil = options.leavingLimitMs;
      return { self, turns, knownAt: 0, excusedUntil, isReached: false };
    });
    for (const reader of this.#readers) {
      this.#queue.after(
        this.#random.nextBelow(TURN_MS),
        () => this.#turn(reader),
      );
    }
  }

  /** Runs up to a virtual time in milliseconds. */
  run(untilMs: number): ReadingFleetResult {
    this.#queue.runUntil(untilMs);
    return { lists: this.#lists, oldestMs: this.#oldestMs };
  }

  get #now(): number {
    return this.#queue.now;
  }

  #turn(reader: Reader): void {
    this.#queue.after(TURN_MS, () => this.#turn(reader));
    const { leavingLimitMs } = this.#options;
    const reachesStore = !this.#has(reader, "turned_away");
    if (this.#has(reader, "stands_still") || !reachesStore) {
      reader.excusedUntil = this.#now + leavingLimitMs;
    }
    if (this.#has(reader, "stands_still")) return;
    if (!reachesStore) this.#hearPeers(reader);
    if (this.#now >= reader.excusedUntil) {
      const ageMs = this.#now - reader.knownAt;
      this.#oldestMs = Math.max(this.#oldestMs, ageMs);
    }
    const turn = reader.turns.next(this.#now);
    if (turn.kind === "list") this.#list(reader, reachesStore);
    if (turn.kind === "ask") this.#ask(reader, turn.address);
  }

  /** An entry that the store rejects receives the state that a random peer knows. */
  #hearPeers(reader: Reader): void {
    const peer = this.#readers[this.#random.nextBelow(this.#readers.length)];
    if (peer === undefined || this.#has(peer, "stands_still")) return;
    reader.knownAt = Math.max(reader.knownAt, peer.knownAt);
  }

  #list(reader: Reader, reachesStore: boolean): void {
    this.#lists++;
    const askedAt = this.#now;
    reader.isReached = reachesStore;
    if (!reachesStore) return;
    this.#queue.after(STORE_MS, () => {
      reader.turns.noteListed(askedAt);
      reader.knownAt = Math.max(reader.knownAt, askedAt);
    });
  }

  #ask(asker: Reader, address: string): void {
    const asked = this.#readers.find(({ self }) => self.address === address);
    if (asked === undefined) return;
    const askedAt = this.#now;
    this.#cross(asker, asked, () => {
      const toldAt = this.#now;
      const { knownAt } = asked;
      const isReading = asked.isReached || asked.turns.isLed;
      this.#cross(asked, asker, () => {
        const ageMs = isReading ? toldAt - knownAt : undefined;
        const answer = { askedAt, ageMs };
        asker.turns.noteAnswer(address, answer, this.#now);
        asker.knownAt = Math.max(asker.knownAt, knownAt);
      });
    });
  }

  /**
   * Delivers a message after a random delay. Messages to a frozen VM wait there; messages
   * to or from an entry that is cut off are lost.
   */
  #cross(from: Reader, to: Reader, run: () => void): void {
    const isLate = this.#random.nextFraction() < LATE_SHARE;
    const latencyMs = 1 + this.#random.nextBelow(isLate ? LATE_MS : USUAL_MS);
    const isCut = this.#has(from, "cut_off") || this.#has(to, "cut_off");
    if (isCut) return;
    this.#queue.after(latencyMs, () => this.#arrive(to, run));
  }

  #arrive(to: Reader, run: () => void): void {
    if (!this.#has(to, "stands_still")) return run();
    this.#queue.after(TURN_MS, () => this.#arrive(to, run));
  }

  #has({ self }: Reader, kind: FleetFault["kind"]): boolean {
    return this.#options.faults.some((fault) =>
      fault.kind === kind && this.#now >= fault.at &&
      this.#now < fault.at + fault.forMs &&
      this.#readers[fault.entry]?.self === self
    );
  }
}

function createEntries(
  { domains, entriesPerDomain }: ReadingFleetOptions,
): readonly ListedEntry[] {
  return Array.from(
    { length: domains },
    (_, domain) =>
      Array.from({ length: entriesPerDomain }, (_, place) => {
        const name = `entry-${domain}-${place}`;
        const failureDomain = `domain-${domain}`;
        return { name, address: `${name}:1`, failureDomain };
      }),
  ).flat();
}
