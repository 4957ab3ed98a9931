/**
 * The two bursts that test admission by priority, with functions that run them and
 * average the scores of several runs.
 *
 * @module
 */
import assert from "node:assert/strict";
import { type BurstScore, type KindScore, scoreCalls } from "./burst_score.ts";
import { KINDS } from "./burst_types.ts";
import {
  type BurstSimulationOptions,
  PriorityBurstSimulation,
} from "./priority_burst_simulation.ts";

/**
 * Seeds of the runs. Several are needed, as runs differ by when the cost of a request
 * jumps.
 */
export const SEEDS = [1, 2, 3, 4, 5, 6] as const;
/** When bursts begin, in virtual milliseconds. */
export const BURST_START_MS = 10_000;
/**
 * Calls that begin within this time after a burst are scored, too, as its backlog affects
 * them.
 */
const TAIL_MS = 1000;
/** Milliseconds after which every scored call has ended. */
export const MAX_CALL_MS = 9000;

/** A burst, with a rate at which 40 to 50% of all answers are late without priorities. */
export interface BurstCase {
  readonly name: string;
  readonly perSecond: number;
  /** Index in {@link KINDS}. */
  readonly kind: number;
  readonly factor: number;
  readonly durationMs: number;
}

/** A burst of the least urgent kind. */
export const LEAST_URGENT_BURST: BurstCase = {
  name: "the least urgent kind",
  perSecond: 53.5,
  kind: 2,
  factor: 2.4,
  durationMs: 5000,
};
/** A burst of the most urgent kind. */
export const MOST_URGENT_BURST: BurstCase = {
  name: "the most urgent kind",
  perSecond: 69,
  kind: 0,
  factor: 1.8,
  durationMs: 3000,
};

/**
 * Options that differ from the default of 41 entries and services of different
 * priorities.
 */
export type BurstOptionChanges =
  & Partial<BurstSimulationOptions>
  & Pick<BurstSimulationOptions, "seed">;

/** Creates the simulation in which a burst is run. */
export function createSimulation(
  { perSecond, kind, factor, durationMs }: BurstCase,
  changes: BurstOptionChanges,
): PriorityBurstSimulation {
  const until = BURST_START_MS + durationMs;
  return new PriorityBurstSimulation({
    entries: 41,
    perSecond,
    burst: { kind, factor, from: BURST_START_MS, until },
    isPrioritised: true,
    ...changes,
  });
}

/** Runs a burst and scores the calls that it affects. */
export function runBurst(
  burst: BurstCase,
  changes: BurstOptionChanges,
): BurstScore {
  const until = BURST_START_MS + burst.durationMs;
  const simulation = createSimulation(burst, changes);
  const ended = simulation.run(until + TAIL_MS + MAX_CALL_MS);
  return scoreCalls(ended, { from: BURST_START_MS, until: until + TAIL_MS });
}

function computeMean(
  scores: readonly BurstScore[],
  read: (score: BurstScore) => number,
): number {
  return scores.reduce((sum, score) => sum + read(score), 0) / scores.length;
}

/** Mean results of several runs; fractions are listed in the order of {@link KINDS}. */
export interface MeanScore {
  /** Fraction of all answers that were late. */
  readonly lateFraction: number;
  /** Fraction of all calls that were answered on time, over all kinds. */
  readonly onTimeFraction: number;
  readonly onTimeFractions: readonly number[];
  readonly servedFractions: readonly number[];
  readonly minOrganisationShare: number;
}

/** Computes means over runs, and the minimum of all runs for organisations. */
export function computeMeanScore(scores: readonly BurstScore[]): MeanScore {
  const meanByKind = (read: (score: KindScore) => number) =>
    KINDS.map((_, kind) =>
      computeMean(scores, ({ kinds }) => read(kinds[kind] as KindScore))
    );
  return {
    lateFraction: computeMean(scores, ({ lateFraction }) => lateFraction),
    onTimeFraction: computeMean(
      scores,
      ({ onTimeFraction }) => onTimeFraction,
    ),
    onTimeFractions: meanByKind(({ onTimeFraction }) => onTimeFraction),
    servedFractions: meanByKind(({ servedFraction }) => servedFraction),
    minOrganisationShare: Math.min(
      ...scores.map(({ minOrganisationShare }) => minOrganisationShare),
    ),
  };
}

/**
 * Asserts that admission by priority improves the results of a burst: more calls of the
 * most urgent kind and more of all calls are answered on time, and no kind or
 * organisation starves.
 *
 * @throws AssertionError when it is not
 */
export function assertBetter(
  without: MeanScore,
  withPriorities: MeanScore,
): void {
  const scores = JSON.stringify({ without, with: withPriorities });
  const [first = 0, middle = 0, last = 0] = withPriorities.servedFractions;
  const [firstOnTime = 0] = withPriorities.onTimeFractions;
  const [firstBefore = 1] = without.onTimeFractions;
  assert.ok(firstOnTime > firstBefore + 0.15, `most urgent: ${scores}`);
  assert.ok(
    withPriorities.onTimeFraction > without.onTimeFraction + 0.05,
    `on time: ${scores}`,
  );
  const isInOrder = first >= middle - 0.05 && middle >= last - 0.05;
  assert.ok(isInOrder, `less urgent served more often: ${scores}`);
  assert.ok(last >= 0.25, `least urgent starved: ${scores}`);
  assert.ok(
    withPriorities.minOrganisationShare >= 0.25,
    `organisation: ${scores}`,
  );
}
