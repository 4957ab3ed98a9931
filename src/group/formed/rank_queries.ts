/**
 * Schedules a decider's queries to ranks within the capacity of its link. Only makes the
 * decisions; the caller provides times and answers.
 *
 * Each rank has at most one pending query. Queries for experts come first, then those
 * for counts, then those for the states of ranks whose counts are not sampled. Counts
 * make up most of the bytes: 3 KB per rank with 12 layers of 256 experts. Popularity is
 * a property of the whole group and each rank's counts are a sample of it, so some ranks
 * are sampled often rather than all of them rarely.
 *
 * @module
 */
import type { RankReportMessage } from "../../messages/formed_group_types.ts";

/** Milliseconds between two queries for the counts of a rank. */
const COUNT_INTERVAL_MS = 200;
/**
 * Number of batches in which the sampled ranks are queried in turn. With two, the counts
 * of one half reveal a change of popularity half an interval earlier.
 */
const COUNT_BATCHES = 2;
/** Milliseconds between two queries for the state of a rank that is not sampled. */
const STATE_INTERVAL_MS = 500;
/** Milliseconds until the first query for counts times out. */
const COUNTS_TIMEOUT_MS = 1000;
/**
 * Milliseconds until the first query without counts times out. It is shorter, because
 * the answer is small and no map can change while the experts of a rank are unknown. The
 * first answer may be missing because the engine is too busy when a process starts.
 */
const STATE_TIMEOUT_MS = 300;
/** Number of unanswered queries in a row after which the timeout stops doubling. */
const MAX_TIMEOUT_DOUBLINGS = 5;
/** Share of the link for all answers; orders, maps and heartbeats need the rest. */
const LINK_SHARE = 0.4;
/** Share of the link for counts. */
const COUNTS_LINK_SHARE = 0.3;
/** Maximum size of a burst of answers, in milliseconds of the share of the link. */
const BURST_MS = 250;
/** Minimum number of sampled ranks, even if they exceed the share: two in each batch. */
const MIN_SAMPLED_RANKS = 4;
/** Size of an answer that has only a state, including headers, in bytes. */
const STATE_BYTES = 300;
/** Average encoded size of the increase of a count, in bytes. */
const BYTES_PER_COUNT = 1.1;
/** Assumed size of an answer with counts until one was received, in bytes. */
const INITIAL_COUNTS_BYTES = 4000;
const MS_PER_SECOND = 1000;

/** A query for the state of a rank's engine and, optionally, its experts and counts. */
export interface RankQuery {
  readonly rank: number;
  readonly withExperts: boolean;
  readonly withCounts: boolean;
}

/** Options of {@link RankQueries}. */
export interface RankQueriesOptions {
  readonly ranks: number;
  /** Capacity of the decider's link in bytes per second. */
  readonly bytesPerSecond: number;
}

/** Expected size and timeout of an answer. */
interface ExpectedAnswer {
  readonly bytes: number;
  /** Milliseconds until the query times out. */
  readonly timeoutMs: number;
}

const STATE_ANSWER: ExpectedAnswer = {
  bytes: STATE_BYTES,
  timeoutMs: STATE_TIMEOUT_MS,
};

/** State of the last query to a rank. */
interface LastQuery {
  queriedAt: number;
  isPending: boolean;
  /** Milliseconds until the last query times out, before any doubling. */
  timeoutMs: number;
  /** Number of unanswered queries in a row. */
  unansweredCount: number;
}

/** Schedules a decider's queries to ranks. */
export class RankQueries {
  readonly #bytesPerSecond: number;
  readonly #lastQueries: readonly LastQuery[];
  /** Ranks whose experts are unknown and have to be queried. */
  readonly #unknownExperts = new Set<number>();
  /** Ranks whose counts are sampled. */
  #sampled: readonly number[] = [];
  #countsBytes = INITIAL_COUNTS_BYTES;
  /** Bytes that may be requested now; negative after a request for a large answer. */
  #budget = 0;
  #budgetAt: number | undefined;

  /** Starts without any query. */
  constructor({ ranks, bytesPerSecond }: RankQueriesOptions) {
    this.#bytesPerSecond = bytesPerSecond;
    this.#lastQueries = Array.from({ length: ranks }, createLastQuery);
  }

  /** Number of sampled ranks whose counts have to be received before a plan. */
  get minSampledForPlan(): number {
    return Math.ceil(this.#sampled.length / COUNT_BATCHES);
  }

  /** Adds a rank whose experts are unknown, so that they are queried. */
  addUnknown(rank: number): void {
    this.#unknownExperts.add(rank);
  }

  /** Records an answer of a rank. A report about an order does not answer a query. */
  recordAnswer({ state, orderId, counts, experts }: RankReportMessage): void {
    const query = this.#lastQueries[state.rank];
    if (query === undefined || orderId !== undefined) return;
    query.isPending = false;
    query.unansweredCount = 0;
    if (experts !== undefined) this.#unknownExperts.delete(state.rank);
    if (counts?.since === undefined) return;
    const numbers = counts.counts.reduce((sum, row) => sum + row.length, 0);
    this.#countsBytes = STATE_BYTES + numbers * BYTES_PER_COUNT;
  }

  /**
   * Returns the queries that are due now, for ranks that can be reached.
   *
   * @example
   * ```ts
   * for (const query of queries.takeDue(now, reachable)) send(query);
   * ```
   */
  takeDue(now: number, reachable: ReadonlySet<number>): readonly RankQuery[] {
    this.#refillBudget(now);
    this.#resetDisconnected(reachable);
    this.#selectSampled(reachable);
    return [
      ...this.#takeExpertQueries(now, reachable),
      ...this.#takeCountQueries(now),
      ...this.#takeStateQueries(now, reachable),
    ];
  }

  #takeExpertQueries(
    now: number,
    reachable: ReadonlySet<number>,
  ): readonly RankQuery[] {
    const ranks = [...this.#unknownExperts].filter((rank) =>
      reachable.has(rank)
    );
    return this.#takeWithinBudget(ranks, STATE_ANSWER, now)
      .map((rank) => ({ rank, withExperts: true, withCounts: false }));
  }

  #takeCountQueries(now: number): readonly RankQuery[] {
    const batch = Math.floor(now * COUNT_BATCHES / COUNT_INTERVAL_MS) %
      COUNT_BATCHES;
    const due = this.#sampled.filter((rank, index) =>
      index % COUNT_BATCHES === batch &&
      this.#isDue(rank, now, COUNT_INTERVAL_MS / COUNT_BATCHES)
    );
    const answer = { bytes: this.#countsBytes, timeoutMs: COUNTS_TIMEOUT_MS };
    return this.#takeWithinBudget(due, answer, now)
      .map((rank) => ({ rank, withExperts: false, withCounts: true }));
  }

  #takeStateQueries(
    now: number,
    reachable: ReadonlySet<number>,
  ): readonly RankQuery[] {
    const due = [...reachable].filter((rank) =>
      !this.#sampled.includes(rank) &&
      this.#isDue(rank, now, STATE_INTERVAL_MS)
    );
    // The least recently queried ranks come first, in case the budget does not cover all.
    due.sort((left, right) =>
      this.#getQueriedAt(left) - this.#getQueriedAt(right)
    );
    return this.#takeWithinBudget(due, STATE_ANSWER, now)
      .map((rank) => ({ rank, withExperts: false, withCounts: false }));
  }

  /**
   * Selects as many ranks without a pending query as the budget allows, and records a
   * query to each.
   */
  #takeWithinBudget(
    ranks: readonly number[],
    { bytes, timeoutMs }: ExpectedAnswer,
    now: number,
  ): readonly number[] {
    const taken: number[] = [];
    for (const rank of ranks) {
      if (this.#budget <= 0) break;
      const query = this.#lastQueries[rank];
      if (query === undefined || !this.#canQuery(query, now)) continue;
      if (query.isPending) query.unansweredCount++;
      query.isPending = true;
      query.timeoutMs = timeoutMs;
      query.queriedAt = now;
      this.#budget -= bytes;
      taken.push(rank);
    }
    return taken;
  }

  /** Returns whether no query is pending or the pending one has timed out. */
  #canQuery(
    {
      isPending,
      queriedAt,
      timeoutMs,
      unansweredCount,
    }: LastQuery,
    now: number,
  ): boolean {
    if (!isPending) return true;
    const factor = 2 ** Math.min(unansweredCount, MAX_TIMEOUT_DOUBLINGS);
    return now - queriedAt >= timeoutMs * factor;
  }

  #isDue(rank: number, now: number, intervalMs: number): boolean {
    return now - this.#getQueriedAt(rank) >= intervalMs;
  }

  #getQueriedAt(rank: number): number {
    return this.#lastQueries[rank]?.queriedAt ?? Number.POSITIVE_INFINITY;
  }

  #refillBudget(now: number): void {
    const elapsedMs = now - (this.#budgetAt ?? now - BURST_MS);
    this.#budgetAt = now;
    const bytesPerMs = this.#bytesPerSecond * LINK_SHARE / MS_PER_SECOND;
    this.#budget = Math.min(
      BURST_MS * bytesPerMs,
      this.#budget + elapsedMs * bytesPerMs,
    );
  }

  /** Resets unreachable ranks: answers on a lost connection will not be received. */
  #resetDisconnected(reachable: ReadonlySet<number>): void {
    for (const [rank, query] of this.#lastQueries.entries()) {
      if (!reachable.has(rank)) Object.assign(query, createLastQuery());
    }
  }

  /**
   * Selects the sampled ranks; keeps the current ones, whose counts have a known base.
   */
  #selectSampled(reachable: ReadonlySet<number>): void {
    const responsive = [...reachable].filter((rank) =>
      this.#lastQueries[rank]?.unansweredCount === 0
    );
    const size = Math.min(this.#maxSampled, responsive.length);
    const kept = this.#sampled.filter((rank) => responsive.includes(rank));
    if (kept.length === size && kept.length === this.#sampled.length) return;
    const stride = responsive.length / size;
    const spread = Array.from(
      { length: size },
      (_, index) => responsive[Math.floor(index * stride)] as number,
    );
    const candidates = [...spread, ...responsive];
    this.#sampled = [...new Set([...kept, ...candidates])].slice(0, size);
  }

  get #maxSampled(): number {
    const bytes = this.#bytesPerSecond * COUNTS_LINK_SHARE *
      COUNT_INTERVAL_MS / MS_PER_SECOND;
    const fittingRanks = Math.floor(bytes / this.#countsBytes);
    return Math.max(MIN_SAMPLED_RANKS, fittingRanks);
  }
}

function createLastQuery(): LastQuery {
  return {
    queriedAt: Number.NEGATIVE_INFINITY,
    isPending: false,
    timeoutMs: 0,
    unansweredCount: 0,
  };
}
