import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type BurstScore, scoreCalls } from "../testing/burst_score.ts";
import { KINDS } from "../testing/burst_types.ts";
import {
  type BurstWorldOptions,
  PriorityBurstWorld,
} from "../testing/priority_burst_world.ts";

const SEEDS = [1, 2, 3, 4, 5, 6] as const;
const BURST_FROM_MS = 10_000;
/** Calls that begin right after a burst meet what it has left. */
const TAIL_MS = 1000;
/** All calls that are scored have ended after that. */
const LONGEST_CALL_MS = 9000;

/** A burst, with the rate at which 40 to 50% of all answers are late without the part. */
interface BurstCase {
  readonly name: string;
  readonly perSecond: number;
  /** Place in {@link KINDS}. */
  readonly kind: number;
  readonly factor: number;
  readonly lastsMs: number;
}

const LEAST_URGENT: BurstCase = {
  name: "the least urgent kind",
  perSecond: 53.5,
  kind: 2,
  factor: 2.4,
  lastsMs: 5000,
};
const MOST_URGENT: BurstCase = {
  name: "the most urgent kind",
  perSecond: 69,
  kind: 0,
  factor: 1.8,
  lastsMs: 3000,
};

function play(
  { perSecond, kind, factor, lastsMs }: BurstCase,
  changes: Partial<BurstWorldOptions> & Pick<BurstWorldOptions, "seed">,
): BurstScore {
  const until = BURST_FROM_MS + lastsMs;
  const world = new PriorityBurstWorld({
    entries: 41,
    perSecond,
    burst: { kind, factor, from: BURST_FROM_MS, until },
    isPrioritised: true,
    ...changes,
  });
  const ended = world.run(until + TAIL_MS + LONGEST_CALL_MS);
  return scoreCalls(ended, { from: BURST_FROM_MS, until: until + TAIL_MS });
}

function meanOf(
  scores: readonly BurstScore[],
  read: (score: BurstScore) => number,
): number {
  return scores.reduce((sum, score) => sum + read(score), 0) / scores.length;
}

describe("a burst before a rank group whose services have one priority", () => {
  for (const burst of [LEAST_URGENT, MOST_URGENT]) {
    it(`makes answers of all kinds late alike when it is of ${burst.name}`, () => {
      const scores = SEEDS.map((seed) =>
        play(burst, { seed, isPrioritised: false })
      );
      const late = meanOf(scores, (score) => score.late);
      assert.ok(late >= 0.4 && late <= 0.5, `${late} late`);
      const onTime = KINDS.map((_, kind) =>
        meanOf(scores, ({ kinds }) => kinds[kind]?.onTime ?? 0)
      );
      const spread = Math.max(...onTime) - Math.min(...onTime);
      assert.ok(spread < 0.1, `${onTime} on time`);
    });
  }
});
