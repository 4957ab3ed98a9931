/**
 * Guards against queries that overload the decider's link. In groups of 64 ranks each
 * decider queried all ranks for state, experts and counts four times a second until it
 * knew every rank, whether or not earlier queries had been answered. The answers of 3.3
 * KB each exceeded the capacity of the VM's link and queued up, so heartbeats were late,
 * links were closed, and the queries started over. No map was ever changed.
 *
 * The cause was that queries were repeated on a timer without a limit on pending ones.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type LinkedGroupOptions,
  LinkedGroupSimulation,
} from "../../testing/linked_group_simulation.ts";
import { createRankState } from "../../testing/rank_state.ts";
import { RankQueries } from "./rank_queries.ts";

/** 4.2 Mbit/s, the link capacity of the VMs in the largest groups. */
const LINK_BYTES_PER_SECOND = 525_000;
const RUN_MS = 10_000;
/** Maximum fraction of the link for queries; orders of a switch use the same link. */
const MAX_LINK_UTILISATION = 0.5;
/**
 * Maximum delay of a message on the link. Heartbeats tolerate seconds, but an order must
 * not be delayed by the duration of a pass, 100 ms.
 */
const MAX_WAIT_MS = 100;

function createOptions(
  ranks: number,
  silentRanks?: ReadonlySet<number>,
): LinkedGroupOptions {
  return {
    ranks,
    layers: 12,
    experts: 256,
    slotsPerRank: 5,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
    silentRanks,
  };
}

describe("queries of a decider on a slow link", () => {
  for (const ranks of [24, 64, 128]) {
    it(`collect the experts of ${ranks} ranks within a second`, () => {
      const { settledAt } = new LinkedGroupSimulation(createOptions(ranks))
        .run(RUN_MS);
      assert.ok(settledAt !== undefined && settledAt <= 1000, `${settledAt}`);
    });

    it(`leave capacity on the link with ${ranks} ranks`, () => {
      const simulation = new LinkedGroupSimulation(createOptions(ranks));
      const { linkUtilisation, longestWaitMs } = simulation.run(
        RUN_MS,
      );
      assert.ok(
        linkUtilisation <= MAX_LINK_UTILISATION,
        `use ${linkUtilisation}`,
      );
      assert.ok(longestWaitMs <= MAX_WAIT_MS, `wait ${longestWaitMs}`);
    });
  }

  it("sample enough counts and receive the state of every rank each second", () => {
    const result = new LinkedGroupSimulation(createOptions(64)).run(RUN_MS);
    assert.ok(result.countsPerSecond >= 20, `${result.countsPerSecond}`);
    assert.ok(result.oldestStateMs <= 1000, `${result.oldestStateMs}`);
  });

  it("receive the other states and counts while some ranks do not answer", () => {
    const silent = new Set([3, 9, 10, 40]);
    const result = new LinkedGroupSimulation(createOptions(64, silent)).run(
      RUN_MS,
    );
    assert.ok(result.countsPerSecond >= 20, `${result.countsPerSecond}`);
    assert.ok(result.oldestStateMs <= 1000, `${result.oldestStateMs}`);
  });
});

describe("queries to one rank", () => {
  const reachable = new Set([0]);

  function createQueries(): RankQueries {
    return new RankQueries({ ranks: 1, bytesPerSecond: 1_000_000 });
  }

  function countSent(untilMs: number, queries: RankQueries): number {
    let sent = 0;
    for (let now = 0; now < untilMs; now += 25) {
      sent += queries.takeDue(now, reachable).length;
    }
    return sent;
  }

  it("are repeated with increasing delays while it does not answer", () => {
    const queries = createQueries();
    assert.equal(countSent(1000, queries), 1);
    assert.ok(countSent(30_000, createQueries()) <= 9);
  });

  it("for its experts are repeated soon, since it may have been too busy", () => {
    const queries = createQueries();
    queries.addUnknown(0);
    assert.equal(queries.takeDue(0, reachable)[0]?.withExperts, true);
    assert.equal(queries.takeDue(200, reachable).length, 0);
    assert.equal(queries.takeDue(400, reachable)[0]?.withExperts, true);
  });

  it("start over when its connection is lost", () => {
    const queries = createQueries();
    assert.equal(queries.takeDue(0, reachable).length, 1);
    assert.equal(queries.takeDue(25, new Set()).length, 0);
    assert.equal(queries.takeDue(50, reachable).length, 1);
  });

  it("are not answered by its report about an order", () => {
    const queries = createQueries();
    const [first] = queries.takeDue(0, reachable);
    assert.equal(first?.rank, 0);
    const state = createRankState({ rank: 0, ranks: 1 });
    queries.recordAnswer({ kind: "rank_report", state, orderId: 7 });
    assert.equal(queries.takeDue(500, reachable).length, 0);
  });
});
