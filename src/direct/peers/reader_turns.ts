/**
 * When an entry asks the platform's store itself, and when it asks another entry that
 * reads the store for it. Decides only; times and answers come in.
 *
 * One entry reads for the whole fleet: each asks the first of its failure domain, and
 * these ask the first of all. So calls to the store follow changes and time, not the
 * number of entries.
 *
 * What an entry knows is as old as its reader's knowledge was when it answered, plus the
 * time since the question left: a bound that needs no clock in common, and that holds
 * also for an answer that lay unread. Where the bound is not kept, be it that the reader
 * stands still, is cut off, is turned away by the store or follows another that is, the
 * entry asks the store. So no agreement on who reads is needed.
 *
 * @module
 */
import type { ReaderCandidates } from "./peer_choice.ts";

/**
 * Lists that fit into the time in which a back end that leaves may be sent work. A watch
 * would be woken by each heartbeat, ten times as often.
 */
const LISTS_IN_LEAVING_TIME = 2.85;
/** Questions to a reader that fit into that time: they cost no call. */
const QUESTIONS_IN_LEAVING_TIME = 12;
/**
 * Part of that time beyond which knowledge is too old: a list, 0.35, and two questions on
 * the way from the first reader, 0.08 each, with some time for the answers. What is left
 * is for an own list that has to be made again.
 */
const OLDEST_PART = 0.7;
/**
 * The same for the first of a failure domain, which asks one less: it lists the store before
 * those that ask it find its knowledge too old, and so not all of them list at once.
 */
const OLDEST_PART_OF_FIRST = 0.52;
/** Milliseconds after which a reader that has not answered is asked once more. */
const ANSWER_LIMIT_MS = 300;
/** Questions in a row without an answer after which another reader is asked. */
const MOST_MISSES = 2;
/** Milliseconds for which a reader that failed is not asked again, doubled each time. */
const SUSPICION_MS = 5000;
/** Times after which that doubles no more: one that is gone is listed for 25 s yet. */
const MOST_DOUBLINGS = 3;

/** What to do now. */
export type ReaderTurn =
  | { readonly kind: "list" }
  | { readonly kind: "ask"; readonly address: string }
  | { readonly kind: "nothing" };

/** What a reader answered. */
export interface ReaderAnswer {
  /** When the question that it answers was sent, in milliseconds. */
  readonly askedAt: number;
  /** How old the reader's knowledge was then; undefined: it has none. */
  readonly ageMs: number | undefined;
}

interface Suspicion {
  readonly until: number;
  /** Failures in a row. */
  readonly failures: number;
}

interface OpenQuestion {
  readonly address: string;
  readonly askedAt: number;
}

const NOTHING: ReaderTurn = { kind: "nothing" };

/** Decides when to ask whom. */
export class ReaderTurns {
  readonly #listIntervalMs: number;
  readonly #askIntervalMs: number;
  readonly #leavingLimitMs: number;
  #oldestMs: number;
  #candidates: readonly string[] = [];
  readonly #suspicions = new Map<string, Suspicion>();
  #open: OpenQuestion | undefined;
  #misses = 0;
  #askedAt = Number.NEGATIVE_INFINITY;
  #listedAt = Number.NEGATIVE_INFINITY;
  /** Nothing that the store said since is unknown here. */
  #knownAt = Number.NEGATIVE_INFINITY;
  #isLed = false;

  /** Takes the milliseconds for which a leaving back end may be sent work. */
  constructor(leavingLimitMs: number) {
    this.#listIntervalMs = leavingLimitMs / LISTS_IN_LEAVING_TIME;
    this.#askIntervalMs = leavingLimitMs / QUESTIONS_IN_LEAVING_TIME;
    this.#leavingLimitMs = leavingLimitMs;
    this.#oldestMs = leavingLimitMs * OLDEST_PART;
  }

  /** Whether a reader tells all that is to be known, so that the store need not. */
  get isLed(): boolean {
    return this.#isLed;
  }

  /** The entries that may read for this one. */
  setCandidates({ addresses, isFirst }: ReaderCandidates): void {
    this.#candidates = addresses;
    this.#oldestMs = this.#leavingLimitMs *
      (isFirst ? OLDEST_PART_OF_FIRST : OLDEST_PART);
    const isListed = this.#open && addresses.includes(this.#open.address);
    if (!isListed) this.#open = undefined;
    if (addresses.length === 0) this.#isLed = false;
  }

  /** The store answered what was asked at a time in milliseconds. */
  noteListed(askedAt: number): void {
    this.#knownAt = Math.max(this.#knownAt, askedAt);
  }

  /** A reader answered. */
  noteAnswer(address: string, answer: ReaderAnswer, now: number): void {
    if (!this.#candidates.includes(address)) return;
    if (this.#open?.address === address) this.#open = undefined;
    const { askedAt, ageMs = Number.POSITIVE_INFINITY } = answer;
    if (ageMs > this.#oldestMs) return this.noteFailed(address, now);
    const knownAt = askedAt - ageMs;
    // An answer that was long on its way says little, and nothing against the reader.
    if (now - knownAt > this.#oldestMs) return;
    this.#misses = 0;
    this.#suspicions.delete(address);
    this.#knownAt = Math.max(this.#knownAt, knownAt);
    this.#isLed = true;
  }

  /** A reader cannot be reached, or knows too little. */
  noteFailed(address: string, now: number): void {
    const failures = (this.#suspicions.get(address)?.failures ?? 0) + 1;
    const doubled = 2 ** Math.min(failures - 1, MOST_DOUBLINGS);
    const until = now + SUSPICION_MS * doubled;
    this.#suspicions.set(address, { until, failures });
    this.#isLed = false;
    this.#misses = 0;
    if (this.#open?.address === address) this.#open = undefined;
  }

  /**
   * What to do now; to be called some times in a question's interval.
   *
   * @example
   * ```ts
   * const turn = turns.next(performance.now());
   * ```
   */
  next(now: number): ReaderTurn {
    this.#giveUpSilent(now);
    const reader = this.#candidates.find((address) =>
      (this.#suspicions.get(address)?.until ?? now) <= now
    );
    const isOld = now - this.#knownAt > this.#oldestMs;
    const mayList = now - this.#listedAt >= this.#listIntervalMs;
    if (mayList && (reader === undefined || isOld)) {
      this.#listedAt = now;
      return { kind: "list" };
    }
    const mayAsk = this.#open === undefined &&
      now - this.#askedAt >= this.#askIntervalMs;
    if (reader === undefined || !mayAsk) return NOTHING;
    this.#askedAt = now;
    this.#open = { address: reader, askedAt: now };
    return { kind: "ask", address: reader };
  }

  #giveUpSilent(now: number): void {
    const open = this.#open;
    if (open === undefined || now - open.askedAt < ANSWER_LIMIT_MS) return;
    this.#misses++;
    if (this.#misses >= MOST_MISSES) {
      return this.noteFailed(open.address, now);
    }
    this.#open = undefined;
    this.#askedAt = Number.NEGATIVE_INFINITY;
  }
}
