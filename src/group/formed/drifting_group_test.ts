/**
 * The load that these tests tell of: a fleet of groups of 24 ranks at its usual traffic,
 * in which seven of eight answers were late. Popularity stood still for two seconds and
 * then changed at once; for half of the time the most loaded rank had over 2.5 times the
 * mean, so that passes took longer than the pause that callers bear.
 *
 * Cause: maps came 0.9 s after a change. Counts from before it were mixed with those after
 * it, and five copies, one after the other at one rank, were waited for while other ranks
 * made none. What proved it: counts of such a day, played again with each of the two.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  DriftingGroup,
  type DriftResult,
} from "../../testing/drifting_group.ts";

const RUN_MS = 10_000;
const SEEDS = [1, 2, 3] as const;
const COUNT_INTERVAL_MS = 100;
const HIGHEST_MEAN_SKEW = 2.42;
const HIGHEST_PART_TOO_LONG = 0.38;

function meanOf(countIntervalMs: number): DriftResult {
  const results = SEEDS.map((seed) =>
    new DriftingGroup({ seed, countIntervalMs }).run(RUN_MS)
  );
  const mean = (read: (result: DriftResult) => number) =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  return {
    meanSkew: mean(({ meanSkew }) => meanSkew),
    partTooLong: mean(({ partTooLong }) => partTooLong),
  };
}

describe("maps of a group whose popularity changes at once", () => {
  /**
   * Measured: 2.38 and 0.36. With up to 400 ms of copies at a rank 3.15 and 0.59; with old
   * counts kept 2.47 and 0.34; with each copy charged a whole slowdown 2.47 and 0.36.
   */
  it("follow it with few copies at each rank and many in all", () => {
    const { meanSkew, partTooLong } = meanOf(COUNT_INTERVAL_MS);
    assert.ok(meanSkew <= HIGHEST_MEAN_SKEW, `${meanSkew}`);
    assert.ok(partTooLong <= HIGHEST_PART_TOO_LONG, `${partTooLong}`);
  });

  /**
   * 64 ranks whose decider has 0.4 of a core: the plan of four copies a rank takes longer
   * than loading them, and maps come late. Measured: 0.38 in place of 0.48 of the time, 0.35
   * with one copy a rank, three seeds alike.
   */
  it("follow it sooner in large groups with fewer copies at each rank", () => {
    const shape = {
      ranks: 64,
      layers: 4,
      experts: 256,
      loadMs: 38,
      planningMs: 60,
      planningMsPerCopy: 0.9,
    };
    const partOf = (copiesPerRank?: number) =>
      new DriftingGroup({
        seed: 1,
        countIntervalMs: 200,
        shape,
        copiesPerRank,
      }).run(8400).partTooLong;
    const ours = partOf();
    const asMuchAsIsLoadedInTime = partOf(4);
    assert.ok(
      ours < 0.9 * asMuchAsIsLoadedInTime,
      `${ours} of ${asMuchAsIsLoadedInTime}`,
    );
  });
});
