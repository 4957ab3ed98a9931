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
import { createRankState } from "../../testing/rank_state.ts";
import { RankQuestions } from "./rank_questions.ts";

/** 4.2 Mbit/s, as machines beside engines of the largest groups have. */
const LINK_BYTES_PER_SECOND = 525_000;
const RUN_MS = 10_000;
/** Orders of a switch cross the same link. */
const LARGEST_LINK_USE = 0.5;
/** Heartbeats are missed after seconds; an order may not wait for a pass of 100 ms. */
const LONGEST_WAIT_MS = 100;

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

  it("count enough ranks each second, and hear of all within one", () => {
    const result = new LinkedGroupWorld(createOptions(64)).run(RUN_MS);
    assert.ok(result.countsPerSecond >= 20, `${result.countsPerSecond}`);
    assert.ok(result.oldestStateMs <= 1000, `${result.oldestStateMs}`);
  });

  it("hear of the others while some ranks are silent", () => {
    const silent = new Set([3, 9, 10, 40]);
    const result = new LinkedGroupWorld(createOptions(64, silent)).run(RUN_MS);
    assert.ok(result.countsPerSecond >= 20, `${result.countsPerSecond}`);
    assert.ok(result.oldestStateMs <= 1000, `${result.oldestStateMs}`);
  });
});

describe("questions to one rank", () => {
  const reachable = new Set([0]);

  function createQuestions(): RankQuestions {
    return new RankQuestions({ ranks: 1, bytesPerSecond: 1_000_000 });
  }

  function countAsked(untilMs: number, questions: RankQuestions): number {
    let asked = 0;
    for (let now = 0; now < untilMs; now += 25) {
      asked += questions.take(now, reachable).length;
    }
    return asked;
  }

  it("are repeated ever later while it does not answer", () => {
    const questions = createQuestions();
    assert.equal(countAsked(1000, questions), 1);
    assert.ok(countAsked(30_000, createQuestions()) <= 9);
  });

  it("on what it holds are repeated soon, as it may have been too busy", () => {
    const questions = createQuestions();
    questions.want(0);
    assert.equal(questions.take(0, reachable)[0]?.withExperts, true);
    assert.equal(questions.take(200, reachable).length, 0);
    assert.equal(questions.take(400, reachable)[0]?.withExperts, true);
  });

  it("begin anew when its connection is lost", () => {
    const questions = createQuestions();
    assert.equal(questions.take(0, reachable).length, 1);
    assert.equal(questions.take(25, new Set()).length, 0);
    assert.equal(questions.take(50, reachable).length, 1);
  });

  it("are not answered by what it tells of an order", () => {
    const questions = createQuestions();
    const [first] = questions.take(0, reachable);
    assert.equal(first?.rank, 0);
    const state = createRankState({ rank: 0, ranks: 1 });
    questions.answered({ kind: "rank_report", state, orderId: 7 });
    assert.equal(questions.take(500, reachable).length, 0);
  });
});
