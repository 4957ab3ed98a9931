/**
 * The two bursts by which admission by priority is judged, and means over runs of them.
 *
 * @module
 */
import assert from "node:assert/strict";
import { type BurstScore, type KindScore, scoreCalls } from "./burst_score.ts";
import { KINDS } from "./burst_types.ts";
import {
  type BurstWorldOptions,
  PriorityBurstWorld,
} from "./priority_burst_world.ts";

/** Seeds over which bursts are judged: single ones differ by when costs jump. */
export const SEEDS = [1, 2, 3, 4, 5, 6] as const;
/** When bursts begin, in virtual milliseconds. */
export const BURST_FROM_MS = 10_000;
/** Calls that begin right after a burst meet what it has left. */
const TAIL_MS = 1000;
/** All calls that are scored have ended after that. */
export const LONGEST_CALL_MS = 9000;

/** A burst, with the rate at which 40 to 50% of all answers are late without the part. */
export interface BurstCase {
  readonly name: string;
  readonly perSecond: number;
  /** Place in {@link KINDS}. */
  readonly kind: number;
  readonly factor: number;
  readonly lastsMs: number;
}

/** A burst of the least urgent kind. */
export const LEAST_URGENT: BurstCase = {
  name: "the least urgent kind",
  perSecond: 53.5,
  kind: 2,
  factor: 2.4,
  lastsMs: 5000,
};
/** A burst of the most urgent kind. */
export const MOST_URGENT: BurstCase = {
  name: "the most urgent kind",
  perSecond: 69,
  kind: 0,
  factor: 1.8,
  lastsMs: 3000,
};

/** What of a run differs from 41 entries before services that differ in priority. */
export type Changes =
  & Partial<BurstWorldOptions>
  & Pick<BurstWorldOptions, "seed">;

/** The world in which a burst is played. */
export function createWorld(
  { perSecond, kind, factor, lastsMs }: BurstCase,
  changes: Changes,
): PriorityBurstWorld {
  const until = BURST_FROM_MS + lastsMs;
  return new PriorityBurstWorld({
    entries: 41,
    perSecond,
    burst: { kind, factor, from: BURST_FROM_MS, until },
    isPrioritised: true,
    ...changes,
  });
}

/** Plays a burst and scores the calls that meet it. */
export function play(burst: BurstCase, changes: Changes): BurstScore {
  const until = BURST_FROM_MS + burst.lastsMs;
  const world = createWorld(burst, changes);
  const ended = world.run(until + TAIL_MS + LONGEST_CALL_MS);
  return scoreCalls(ended, { from: BURST_FROM_MS, until: until + TAIL_MS });
}

function meanOf(
  scores: readonly BurstScore[],
  read: (score: BurstScore) => number,
): number {
  return scores.reduce((sum, score) => sum + read(score), 0) / scores.length;
}

/** What callers of each kind got, and what it was worth. */
export interface MeanScore {
  /** Part of all answers that were late. */
  readonly late: number;
  readonly worth: number;
  readonly onTime: readonly number[];
  readonly served: readonly number[];
  readonly leastOfOrganisation: number;
}

/** Means over runs; of organisations the least of any run. */
export function meanScore(scores: readonly BurstScore[]): MeanScore {
  const ofKinds = (read: (score: KindScore) => number) =>
    KINDS.map((_, kind) =>
      meanOf(scores, ({ kinds }) => read(kinds[kind] as KindScore))
    );
  return {
    late: meanOf(scores, ({ late }) => late),
    worth: meanOf(scores, ({ worth }) => worth),
    onTime: ofKinds(({ onTime }) => onTime),
    served: ofKinds(({ served }) => served),
    leastOfOrganisation: Math.min(
      ...scores.map(({ leastOfOrganisation }) => leastOfOrganisation),
    ),
  };
}

/**
 * What a burst is to be like with admission by priority, against without it.
 *
 * @throws AssertionError when it is not
 */
export function assertBetter(without: MeanScore, with_: MeanScore): void {
  const seen = JSON.stringify({ without, with: with_ });
  const [first = 0, middle = 0, last = 0] = with_.served;
  const [firstOnTime = 0] = with_.onTime;
  const [firstBefore = 1] = without.onTime;
  assert.ok(firstOnTime > firstBefore + 0.15, `most urgent: ${seen}`);
  assert.ok(with_.worth > without.worth + 0.05, `worth: ${seen}`);
  const isInOrder = first >= middle - 0.05 && middle >= last - 0.05;
  assert.ok(isInOrder, `less urgent served more often: ${seen}`);
  assert.ok(last >= 0.25, `least urgent starved: ${seen}`);
  assert.ok(with_.leastOfOrganisation >= 0.25, `organisation: ${seen}`);
}
