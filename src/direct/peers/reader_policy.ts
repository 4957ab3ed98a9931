/**
 * Decides when an entry queries the platform's store itself, and when it queries another
 * entry that reads the store for it. Makes decisions only; the caller passes in times and
 * answers.
 *
 * One entry reads the store for the whole fleet: each entry queries the first one of its
 * failure domain, and these query the first of all entries. So the number of calls to the
 * store depends on changes and time, not on the number of entries.
 *
 * The state that an entry knows is as old as its reader's state was when it answered,
 * plus the time since the query was sent. This upper bound on the age needs no shared
 * clock, and also holds for an answer that was read late. When the bound exceeds the
 * limit, because the reader is frozen, disconnected, rejected by the store or follows
 * another entry that is, the entry queries the store itself. So the entries need not
 * agree on who reads.
 *
 * @module
 */
import type { ReaderCandidates } from "./peer_choice.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/**
 * Listings of the store within the time for which a leaving back end may still receive
 * requests. A watch would return at each heartbeat, ten times as often.
 */
const LISTINGS_PER_LEAVING_LIMIT = 2.85;
/** Queries to a reader within that time. They cost no call to the store. */
const QUERIES_PER_LEAVING_LIMIT = 12;
/**
 * Maximum age of the known state, as a fraction of the time for which a leaving back end
 * may still receive requests: 0.35 for the interval between listings, 0.08 for each of
 * two queries on the way from the first reader, and some time for the answers. The rest
 * is for a listing by the entry itself, which may have to be retried.
 */
const MAX_AGE_FRACTION = 0.7;
/**
 * The same maximum for the first entry of a failure domain, which is one query closer to
 * the first reader. It lists the store before the state of its followers is too old, so
 * that they do not all list at once.
 */
const MAX_AGE_FRACTION_OF_FIRST = 0.52;
/** Milliseconds after which a reader that has not answered is queried again. */
const ANSWER_TIMEOUT_MS = 300;
/** Unanswered queries in a row after which another reader is queried. */
const MAX_UNANSWERED_QUERIES = 2;
/**
 * Milliseconds for which a failed reader is not queried again. Doubled for each further
 * failure.
 */
const FAILED_READER_PAUSE_MS = 5000;
/** Maximum number of doublings. A reader that is gone remains listed for 25 s. */
const MAX_PAUSE_DOUBLINGS = 3;

/** The next action of an entry. */
export type ReaderAction =
  | { readonly kind: "list" }
  | { readonly kind: "ask"; readonly address: SocketAddress }
  | { readonly kind: "nothing" };

/** An answer of a reader. */
export interface ReaderAnswer {
  /** When the query that it answers was sent, in milliseconds. */
  readonly askedAt: number;
  /** Age of the reader's state when it answered; undefined if it has none. */
  readonly ageMs: number | undefined;
}

interface ReaderFailure {
  readonly until: number;
  /** Number of failures in a row. */
  readonly failureCount: number;
}

interface PendingQuery {
  readonly address: SocketAddress;
  readonly askedAt: number;
}

const NO_ACTION: ReaderAction = { kind: "nothing" };

/** Decides when to query a reader and when to list the store. */
export class ReaderPolicy {
  readonly #listIntervalMs: number;
  readonly #queryIntervalMs: number;
  readonly #leavingLimitMs: number;
  #maxAgeMs: number;
  #candidates: readonly SocketAddress[] = [];
  readonly #failures = new Map<string, ReaderFailure>();
  #pendingQuery: PendingQuery | undefined;
  #unansweredCount = 0;
  #queriedAt = Number.NEGATIVE_INFINITY;
  #listedAt = Number.NEGATIVE_INFINITY;
  /** Everything that the store contained at this time is known here. */
  #knownAt = Number.NEGATIVE_INFINITY;
  #isFollowingReader = false;

  /** Takes the milliseconds for which a leaving back end may still receive requests. */
  constructor(leavingLimitMs: number) {
    this.#listIntervalMs = leavingLimitMs / LISTINGS_PER_LEAVING_LIMIT;
    this.#queryIntervalMs = leavingLimitMs / QUERIES_PER_LEAVING_LIMIT;
    this.#leavingLimitMs = leavingLimitMs;
    this.#maxAgeMs = leavingLimitMs * MAX_AGE_FRACTION;
  }

  /** Whether a reader sends all updates, so that the store need not be queried. */
  get isFollowingReader(): boolean {
    return this.#isFollowingReader;
  }

  /** Sets the entries that may read the store for this one. */
  setCandidates({ addresses, isFirstOfDomain }: ReaderCandidates): void {
    this.#candidates = addresses;
    this.#maxAgeMs = this.#leavingLimitMs *
      (isFirstOfDomain ? MAX_AGE_FRACTION_OF_FIRST : MAX_AGE_FRACTION);
    const isListed = this.#pendingQuery &&
      addresses.includes(this.#pendingQuery.address);
    if (!isListed) this.#pendingQuery = undefined;
    if (addresses.length === 0) this.#isFollowingReader = false;
  }

  /**
   * Records that the store answered a listing that was requested at `askedAt`, in
   * milliseconds.
   */
  recordListing(askedAt: number): void {
    this.#knownAt = Math.max(this.#knownAt, askedAt);
  }

  /** Records the answer of a reader. */
  recordAnswer(
    address: SocketAddress,
    answer: ReaderAnswer,
    now: number,
  ): void {
    if (!this.#candidates.includes(address)) return;
    if (this.#pendingQuery?.address === address) this.#pendingQuery = undefined;
    const { askedAt, ageMs = Number.POSITIVE_INFINITY } = answer;
    if (ageMs > this.#maxAgeMs) return this.recordFailure(address, now);
    const knownAt = askedAt - ageMs;
    // A late answer is too old to be useful, but does not mean that the reader failed.
    if (now - knownAt > this.#maxAgeMs) return;
    this.#unansweredCount = 0;
    this.#failures.delete(address);
    this.#knownAt = Math.max(this.#knownAt, knownAt);
    this.#isFollowingReader = true;
  }

  /** Records that a reader cannot be reached, or that its state is too old. */
  recordFailure(address: SocketAddress, now: number): void {
    const failureCount = (this.#failures.get(address)?.failureCount ?? 0) + 1;
    const doubled = 2 ** Math.min(failureCount - 1, MAX_PAUSE_DOUBLINGS);
    const until = now + FAILED_READER_PAUSE_MS * doubled;
    this.#failures.set(address, { until, failureCount });
    this.#isFollowingReader = false;
    this.#unansweredCount = 0;
    if (this.#pendingQuery?.address === address) this.#pendingQuery = undefined;
  }

  /**
   * Returns the next action. Must be called several times in each query interval.
   *
   * @example
   * ```ts
   * const action = policy.nextAction(performance.now());
   * ```
   */
  nextAction(now: number): ReaderAction {
    this.#expirePendingQuery(now);
    const reader = this.#candidates.find((address) =>
      (this.#failures.get(address)?.until ?? now) <= now
    );
    const isStale = now - this.#knownAt > this.#maxAgeMs;
    const mayList = now - this.#listedAt >= this.#listIntervalMs;
    if (mayList && (reader === undefined || isStale)) {
      this.#listedAt = now;
      return { kind: "list" };
    }
    const mayQuery = this.#pendingQuery === undefined &&
      now - this.#queriedAt >= this.#queryIntervalMs;
    if (reader === undefined || !mayQuery) return NO_ACTION;
    this.#queriedAt = now;
    this.#pendingQuery = { address: reader, askedAt: now };
    return { kind: "ask", address: reader };
  }

  #expirePendingQuery(now: number): void {
    const pendingQuery = this.#pendingQuery;
    if (
      pendingQuery === undefined ||
      now - pendingQuery.askedAt < ANSWER_TIMEOUT_MS
    ) return;
    this.#unansweredCount++;
    if (this.#unansweredCount >= MAX_UNANSWERED_QUERIES) {
      return this.recordFailure(pendingQuery.address, now);
    }
    this.#pendingQuery = undefined;
    this.#queriedAt = Number.NEGATIVE_INFINITY;
  }
}
