/**
 * Which ranks a decider asks what, and when, within what its link can carry. Decides
 * only; times and answers come in.
 *
 * Each rank has one open question at most. What a rank holds is asked first, then counts,
 * then the states of ranks that are not counted. Counts are most of the bytes: 3 KB a rank
 * with 12 layers of 256 experts. Popularity is the group's and each rank counts a sample
 * of it, so some ranks are counted often rather than all of them seldom.
 *
 * @module
 */
import type { RankReportMessage } from "../../messages/formed_group_types.ts";

/** Milliseconds between two questions for counts to a rank. */
const COUNT_INTERVAL_MS = 200;
/**
 * Counted ranks are asked in turn by halves: what one half counts shows that popularity
 * changed, half an interval sooner.
 */
const COUNT_BATCHES = 2;
/** Milliseconds between two questions for the state of a rank that is not counted. */
const STATE_INTERVAL_MS = 500;
/** Milliseconds for which a first question is waited for, with counts. */
const COUNTS_TIMEOUT_MS = 1000;
/**
 * The same without counts: the answer is small, and while what a rank holds is unknown no
 * map is changed. A process that starts may find its engine too busy for its first answer.
 */
const STATE_TIMEOUT_MS = 300;
/** Questions without an answer after which the wait doubles no more. */
const MAX_TIMEOUT_DOUBLINGS = 5;
/** Part of the link for all answers: orders, maps and heartbeats need the rest. */
const LINK_SHARE = 0.4;
/** Part of the link for counts. */
const COUNTS_LINK_SHARE = 0.3;
/** Milliseconds of its part of the link that a decider may ask for at once. */
const BURST_MS = 250;
/** Ranks that are counted even if their answers fill the link: two a turn. */
const MIN_COUNTED_RANKS = 4;
/** Bytes of an answer with nothing but a state, with the headers around it. */
const STATE_BYTES = 300;
/** Bytes of a count of what was added since the last, and of an expert's number. */
const BYTES_PER_COUNT = 1.1;
/** Bytes of counts until some have come. */
const INITIAL_COUNTS_BYTES = 4000;
const MS_PER_SECOND = 1000;

/** What a rank is asked beside the state of its engine. */
export interface RankQuestion {
  readonly rank: number;
  readonly withExperts: boolean;
  readonly withCounts: boolean;
}

/** Options of {@link RankQuestions}. */
export interface RankQueriesOptions {
  readonly ranks: number;
  /** Bytes that the decider's link carries in a second. */
  readonly bytesPerSecond: number;
}

/** What is expected of an answer. */
interface ExpectedAnswer {
  readonly bytes: number;
  /** Milliseconds for which it is waited for. */
  readonly timeoutMs: number;
}

const STATE_ANSWER: ExpectedAnswer = {
  bytes: STATE_BYTES,
  timeoutMs: STATE_TIMEOUT_MS,
};

interface QueriedRank {
  queriedAt: number;
  isPending: boolean;
  /** Milliseconds for which that question is waited for. */
  timeoutMs: number;
  /** Questions in a row without an answer. */
  unansweredCount: number;
}

/** Which ranks a decider asks what, and when. */
export class RankQuestions {
  readonly #bytesPerSecond: number;
  readonly #ranks: readonly QueriedRank[];
  /** Ranks of which it is wanted what they hold. */
  readonly #expertsWanted = new Set<number>();
  /** Ranks that are counted. */
  #counted: readonly number[] = [];
  #countsBytes = INITIAL_COUNTS_BYTES;
  /** Bytes that may be asked for now; negative after a large answer was asked for. */
  #budget = 0;
  #budgetAt: number | undefined;

  /** Nobody was asked yet. */
  constructor({ ranks, bytesPerSecond }: RankQueriesOptions) {
    this.#bytesPerSecond = bytesPerSecond;
    this.#ranks = Array.from({ length: ranks }, createQueriedRank);
  }

  /** Ranks of which so many have to be counted before a plan. */
  get minCountedForPlan(): number {
    return Math.ceil(this.#counted.length / COUNT_BATCHES);
  }

  /** What a rank holds is wanted. */
  want(rank: number): void {
    this.#expertsWanted.add(rank);
  }

  /** A rank told how it stands; what it tells of an order answers no question. */
  answered({ state, orderId, counts, experts }: RankReportMessage): void {
    const asked = this.#ranks[state.rank];
    if (asked === undefined || orderId !== undefined) return;
    asked.isPending = false;
    asked.unansweredCount = 0;
    if (experts !== undefined) this.#expertsWanted.delete(state.rank);
    if (counts?.since === undefined) return;
    const numbers = counts.counts.reduce((sum, row) => sum + row.length, 0);
    this.#countsBytes = STATE_BYTES + numbers * BYTES_PER_COUNT;
  }

  /**
   * The questions that are to be sent now, to ranks that can be reached.
   *
   * @example
   * ```ts
   * for (const question of questions.take(now, reachable)) send(question);
   * ```
   */
  take(now: number, reachable: ReadonlySet<number>): readonly RankQuestion[] {
    this.#refillBudget(now);
    this.#resetDisconnected(reachable);
    this.#selectCounted(reachable);
    return [
      ...this.#takeExpertQueries(now, reachable),
      ...this.#takeCountQueries(now),
      ...this.#takeStateQueries(now, reachable),
    ];
  }

  #takeExpertQueries(
    now: number,
    reachable: ReadonlySet<number>,
  ): readonly RankQuestion[] {
    const wanted = [...this.#expertsWanted].filter((rank) =>
      reachable.has(rank)
    );
    return this.#takeWithinBudget(wanted, STATE_ANSWER, now)
      .map((rank) => ({ rank, withExperts: true, withCounts: false }));
  }

  #takeCountQueries(now: number): readonly RankQuestion[] {
    const turn = Math.floor(now * COUNT_BATCHES / COUNT_INTERVAL_MS) %
      COUNT_BATCHES;
    const due = this.#counted.filter((rank, place) =>
      place % COUNT_BATCHES === turn &&
      this.#isDue(rank, now, COUNT_INTERVAL_MS / COUNT_BATCHES)
    );
    const answer = { bytes: this.#countsBytes, timeoutMs: COUNTS_TIMEOUT_MS };
    return this.#takeWithinBudget(due, answer, now)
      .map((rank) => ({ rank, withExperts: false, withCounts: true }));
  }

  #takeStateQueries(
    now: number,
    reachable: ReadonlySet<number>,
  ): readonly RankQuestion[] {
    const due = [...reachable].filter((rank) =>
      !this.#counted.includes(rank) &&
      this.#isDue(rank, now, STATE_INTERVAL_MS)
    );
    // Who was asked the longest ago is first, if not all can be asked.
    due.sort((left, right) =>
      this.#getQueriedAt(left) - this.#getQueriedAt(right)
    );
    return this.#takeWithinBudget(due, STATE_ANSWER, now)
      .map((rank) => ({ rank, withExperts: false, withCounts: false }));
  }

  /** As many as the budget allows, of those that have no open question. */
  #takeWithinBudget(
    ranks: readonly number[],
    { bytes, timeoutMs: limitMs }: ExpectedAnswer,
    now: number,
  ): readonly number[] {
    const taken: number[] = [];
    for (const rank of ranks) {
      if (this.#budget <= 0) break;
      const asked = this.#ranks[rank];
      if (asked === undefined || !this.#canQuery(asked, now)) continue;
      if (asked.isPending) asked.unansweredCount++;
      asked.isPending = true;
      asked.timeoutMs = limitMs;
      asked.queriedAt = now;
      this.#budget -= bytes;
      taken.push(rank);
    }
    return taken;
  }

  /** A question without an answer is not repeated at once, and then ever later. */
  #canQuery(
    {
      isPending: isOpen,
      queriedAt: askedAt,
      timeoutMs: limitMs,
      unansweredCount: misses,
    }: QueriedRank,
    now: number,
  ): boolean {
    if (!isOpen) return true;
    const longer = 2 ** Math.min(misses, MAX_TIMEOUT_DOUBLINGS);
    return now - askedAt >= limitMs * longer;
  }

  #isDue(rank: number, now: number, intervalMs: number): boolean {
    return now - this.#getQueriedAt(rank) >= intervalMs;
  }

  #getQueriedAt(rank: number): number {
    return this.#ranks[rank]?.queriedAt ?? Number.POSITIVE_INFINITY;
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

  /** An answer that was on its way over a lost connection does not come any more. */
  #resetDisconnected(reachable: ReadonlySet<number>): void {
    for (const [rank, asked] of this.#ranks.entries()) {
      if (!reachable.has(rank)) Object.assign(asked, createQueriedRank());
    }
  }

  /** Who is counted stays so, since only what was added since the last count is known. */
  #selectCounted(reachable: ReadonlySet<number>): void {
    const able = [...reachable].filter((rank) =>
      this.#ranks[rank]?.unansweredCount === 0
    );
    const size = Math.min(this.#maxCounted, able.length);
    const kept = this.#counted.filter((rank) => able.includes(rank));
    if (kept.length === size && kept.length === this.#counted.length) return;
    const stride = able.length / size;
    const spread = Array.from(
      { length: size },
      (_, place) => able[Math.floor(place * stride)] as number,
    );
    const others = [...spread, ...able];
    this.#counted = [...new Set([...kept, ...others])].slice(0, size);
  }

  get #maxCounted(): number {
    const bytes = this.#bytesPerSecond * COUNTS_LINK_SHARE *
      COUNT_INTERVAL_MS / MS_PER_SECOND;
    const fitting = Math.floor(bytes / this.#countsBytes);
    return Math.max(MIN_COUNTED_RANKS, fitting);
  }
}

function createQueriedRank(): QueriedRank {
  return {
    queriedAt: Number.NEGATIVE_INFINITY,
    isPending: false,
    timeoutMs: 0,
    unansweredCount: 0,
  };
}
