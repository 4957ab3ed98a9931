/**
 * The load that these tests tell of: requests that crash each rank that runs them come
 * again and again at any entry, and stop a whole rank group for seconds each time, while
 * ranks also crash by themselves, some or all at once. What counts for callers is how
 * many ranks end and that nobody else is refused for it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  PoisonFleet,
  type PoisonFleetOptions,
  type PoisonFleetResult,
} from "../testing/poison_fleet.ts";

const RUN_MS = 60_000;
const SEEDS = [1, 2, 3];
/** Part of the other requests that may be taken for the cause. */
const MOST_REFUSED_INNOCENT = 0.001;
/**
 * Times that an entry may tell of changes: it hears of each loss from some entries,
 * several requests at a time, and has nothing to tell in between.
 */
const MOST_TOLD = 100;

function createOptions(
  changes: Partial<PoisonFleetOptions> = {},
): PoisonFleetOptions {
  return {
    seed: 1,
    entries: 9,
    groups: 1,
    ranksPerGroup: 12,
    requestsPerSecond: 60,
    poisons: 0,
    poisonEveryMs: 500,
    losses: [],
    ...changes,
  };
}

function runAll(
  changes: Partial<PoisonFleetOptions>,
): readonly PoisonFleetResult[] {
  return SEEDS.map((seed) =>
    new PoisonFleet(createOptions({ ...changes, seed })).run(RUN_MS)
  );
}

function sumOf(
  results: readonly PoisonFleetResult[],
  read: (result: PoisonFleetResult) => number,
): number {
  return results.reduce((sum, result) => sum + read(result), 0);
}

interface FleetRow {
  readonly name: string;
  readonly changes: Partial<PoisonFleetOptions>;
  /** Ranks that may end in each run. */
  readonly mostCrashes: number;
}

const ROWS: readonly FleetRow[] = [
  {
    name: "one such request, one group",
    changes: { poisons: 1 },
    mostCrashes: 3,
  },
  {
    name: "three such requests, one group",
    changes: { poisons: 3 },
    mostCrashes: 9,
  },
  {
    name: "one such request, three groups, 39 entries",
    changes: { poisons: 1, groups: 3, ranksPerGroup: 24, entries: 39 },
    mostCrashes: 6,
  },
  {
    name: "a rack, then all ranks, and a rack again",
    changes: {
      losses: [
        { at: 10_000, share: 0.3 },
        { at: 16_000, share: 1 },
        { at: 22_000, share: 0.3 },
      ],
    },
    mostCrashes: 0,
  },
  {
    name: "ranks that go down and up by turns",
    changes: {
      losses: Array.from(
        { length: 10 },
        (_, number) => ({ at: 5000 + number * 4500, share: 0.08 }),
      ),
    },
    mostCrashes: 0,
  },
  {
    name: "all ranks twice, with one such request",
    changes: {
      poisons: 1,
      losses: [{ at: 10_000, share: 1 }, { at: 16_000, share: 1 }],
    },
    mostCrashes: 3,
  },
];

describe("ranks that end", () => {
  for (const { name, changes, mostCrashes } of ROWS) {
    it(name, (test) => {
      const results = runAll(changes);
      const crashes = results.map((result) => result.crashes);
      const innocent = sumOf(results, (result) => result.innocent);
      const refused = sumOf(results, (result) => result.refusedInnocent);
      const served = sumOf(results, (result) => result.served);
      test.diagnostic(
        `crashes ${crashes}, told ${
          Math.max(...results.map(({ mostTold }) => mostTold))
        }, refused ${refused} and served ${served} of ${innocent}`,
      );
      assert.ok(Math.max(...crashes) <= mostCrashes, `${crashes}`);
      const told = Math.max(...results.map(({ mostTold }) => mostTold));
      assert.ok(told <= MOST_TOLD, `told ${told} times`);
      assert.ok(refused <= innocent * MOST_REFUSED_INNOCENT, `${refused}`);
    });
  }
});
