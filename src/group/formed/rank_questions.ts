/**
 * Which ranks a decider asks what, and when. Decides only; times and answers come in.
 *
 * @module
 */
import type { RankReportMessage } from "./types.ts";

/** Milliseconds between two questions for counts to a rank. */
const COUNT_INTERVAL_MS = 200;
/**
 * Ranks are asked in turn by halves: popularity is the group's, and what one half counts
 * in 100 ms shows that it changed. Counts of 24 ranks played again: the most loaded rank
 * had 2.0 times the mean with counts each 100 ms, 2.1 with 200.
 */
const TURNS = 2;
/** Milliseconds after which a rank that has not answered is asked again. */
const ANSWER_LIMIT_MS = 1000;

/** What a rank is asked beside the state of its engine. */
export interface RankQuestion {
  readonly rank: number;
  readonly withExperts: boolean;
  readonly withCounts: boolean;
}

interface AskedRank {
  askedAt: number;
  isOpen: boolean;
}

/** Options of {@link RankQuestions}. */
export interface RankQuestionsOptions {
  readonly ranks: number;
  /** Bytes of answers that the decider's link may carry in a second. */
  readonly bytesPerSecond: number;
}

/** Which ranks a decider asks what, and when. */
export class RankQuestions {
  readonly #asked: readonly AskedRank[];
  readonly #wanted = new Set<number>();

  /** Nobody was asked yet. */
  constructor({ ranks }: RankQuestionsOptions) {
    this.#asked = Array.from(
      { length: ranks },
      () => ({ askedAt: Number.NEGATIVE_INFINITY, isOpen: false }),
    );
  }

  /** Ranks of which so many have to be counted before a plan. */
  get countedForPlan(): number {
    return this.#asked.length / TURNS;
  }

  /** What a rank holds is wanted with the next questions. */
  want(rank: number): void {
    this.#wanted.add(rank);
  }

  /** A rank answered. */
  answered(report: RankReportMessage): void {
    const asked = this.#asked[report.state.rank];
    if (asked !== undefined && report.counts !== undefined) {
      asked.isOpen = false;
    }
  }

  /**
   * The questions that are to be sent now, to ranks that can be reached.
   *
   * @example
   * ```ts
   * for (const question of questions.take(now, reachable)) send(question);
   * ```
   */
  take(
    now: number,
    reachable: ReadonlySet<number>,
  ): readonly RankQuestion[] {
    const wanted = [...this.#wanted].filter((rank) => reachable.has(rank));
    this.#wanted.clear();
    const turn = Math.floor(now * TURNS / COUNT_INTERVAL_MS) % TURNS;
    const counted = [...this.#asked.keys()].filter((rank) =>
      rank % TURNS === turn && this.#isDue(rank, now) && reachable.has(rank)
    );
    for (const rank of counted) {
      this.#asked[rank]!.askedAt = now;
      this.#asked[rank]!.isOpen = true;
    }
    return [
      ...wanted.map((rank) => ({ rank, withExperts: true, withCounts: true })),
      ...counted.map((rank) => ({
        rank,
        withExperts: false,
        withCounts: true,
      })),
    ];
  }

  #isDue(rank: number, now: number): boolean {
    const { askedAt, isOpen } = this.#asked[rank] as AskedRank;
    const limitMs = isOpen ? ANSWER_LIMIT_MS : COUNT_INTERVAL_MS / TURNS;
    return now - askedAt >= limitMs;
  }
}
