import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRankState } from "../../testing/rank_state.ts";
import { PassTimes } from "./pass_times.ts";
import { Popularity } from "./popularity.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

function createState(pass: number, running = 1): RankState {
  return createRankState({ pass, running });
}

describe("popularity of experts", () => {
  it("adds up the increases of all ranks since the last observation", () => {
    const popularity = new Popularity();
    popularity.observe(0, [[100, 100]], 0);
    popularity.observe(1, [[7, 7]], 0);
    assert.equal(popularity.isKnown, false);
    popularity.observe(0, [[110, 100]], 0);
    popularity.observe(1, [[7, 12]], 0);
    assert.deepEqual(popularity.tokens, [[10, 5]]);
  });

  it("decays old counts", () => {
    const popularity = new Popularity();
    popularity.observe(0, [[0, 0]], 0);
    popularity.observe(0, [[100, 0]], 0);
    popularity.observe(0, [[100, 100]], 1500);
    const [old, recent] = popularity.tokens[0] as readonly number[];
    assert.ok((old as number) < 0.02 * (recent as number));
  });

  it("discards counts from before a change", () => {
    const popularity = new Popularity();
    popularity.observe(0, [[0, 0]], 0);
    popularity.observe(0, [[900, 100]], 0);
    popularity.observe(0, [[900, 1100]], 100);
    popularity.observe(0, [[900, 1200]], 200);
    assert.deepEqual(popularity.tokens, [[0, 1100]]);
    assert.equal(popularity.changes, 1);
  });

  it("does not mistake noise in low counts for a change", () => {
    const popularity = new Popularity();
    popularity.observe(0, [[0, 0]], 0);
    popularity.observe(0, [[30, 0]], 0);
    popularity.observe(0, [[30, 20]], 100);
    popularity.observe(0, [[30, 21]], 200);
    const [old] = popularity.tokens[0] as readonly number[];
    assert.ok((old as number) > 15);
  });

  it("ignores the first counts of a restarted engine", () => {
    const popularity = new Popularity();
    popularity.observe(0, [[50, 50]], 0);
    popularity.observe(0, [[60, 50]], 0);
    popularity.observe(0, [[2, 3]], 0);
    assert.deepEqual(popularity.tokens, [[10, 0]]);
  });
});

describe("durations of passes", () => {
  it("are the time between two observations divided by the passes begun", () => {
    const times = new PassTimes(1);
    times.observe(createState(10), 0);
    times.observe(createState(15), 300);
    assert.equal(times.meanMs, 60);
  });

  it("include a pass that spans several observations in full", () => {
    const times = new PassTimes(1);
    times.observe(createState(10), 0);
    times.observe(createState(10), 400);
    times.observe(createState(11), 900);
    assert.equal(times.meanMs, 900);
  });

  it("exclude time without running requests", () => {
    const times = new PassTimes(1);
    times.observe(createState(10), 0);
    times.observe(createState(10, 0), 5000);
    times.observe(createState(12), 5100);
    assert.equal(times.meanMs, 50);
  });
});
