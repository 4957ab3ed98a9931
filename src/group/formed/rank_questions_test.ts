/**
 * The load that these tests tell of: three groups of 64 ranks in which no map was ever
 * changed. Each decider asked all ranks for state, experts and counts four times a second
 * until it knew every rank at once, whether or not the last questions were answered. The
 * answers, 3.3 KB each, took more than its machine's link could carry. They queued,
 * heartbeats came late, links were closed, and the asking began anew, for good.
 *
 * Cause: questions repeated on a timer without a bound on what is under way.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type LinkedGroupOptions,
  LinkedGroupWorld,
} from "../../testing/linked_group_world.ts";

/** 4.2 Mbit/s, as machines beside engines of the largest groups have. */
const LINK_BYTES_PER_SECOND = 525_000;
const RUN_MS = 10_000;
/** Orders of a switch cross the same link. */
const LARGEST_LINK_USE = 0.5;
/** Heartbeats are missed after seconds; an order may not wait for a pass of 100 ms. */
const LONGEST_WAIT_MS = 100;

function createOptions(ranks: number): LinkedGroupOptions {
  return {
    ranks,
    layers: 12,
    experts: 256,
    slotsPerRank: 5,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  };
}

describe("questions of a decider behind a small link", () => {
  for (const ranks of [24, 64, 128]) {
    it(`tell it at once what ${ranks} ranks hold`, () => {
      const { settledAt } = new LinkedGroupWorld(createOptions(ranks))
        .run(RUN_MS);
      assert.ok(settledAt !== undefined && settledAt <= 1000, `${settledAt}`);
    });

    it(`leave its link free with ${ranks} ranks`, () => {
      const world = new LinkedGroupWorld(createOptions(ranks));
      const { linkUse, longestWaitMs } = world.run(RUN_MS);
      assert.ok(linkUse <= LARGEST_LINK_USE, `use ${linkUse}`);
      assert.ok(longestWaitMs <= LONGEST_WAIT_MS, `wait ${longestWaitMs}`);
    });
  }
});
