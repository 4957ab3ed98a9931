import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getCopiesPerRank } from "./copies_per_rank.ts";

describe("copies at a rank for one map", () => {
  it("are as many as fit into a short time, and one at least", () => {
    const ranks = 24;
    assert.equal(getCopiesPerRank({ loadMs: 76, passMs: 60, ranks }), 2);
    assert.equal(getCopiesPerRank({ loadMs: 400, passMs: 60, ranks }), 1);
    assert.equal(getCopiesPerRank({ loadMs: 76, passMs: undefined, ranks }), 2);
  });

  it("are fewer in large groups, whose copies take long to plan", () => {
    assert.equal(getCopiesPerRank({ loadMs: 38, passMs: 60, ranks: 12 }), 3);
    assert.equal(getCopiesPerRank({ loadMs: 38, passMs: 60, ranks: 64 }), 2);
    assert.equal(getCopiesPerRank({ loadMs: 38, passMs: 60, ranks: 200 }), 1);
  });

  it("are more while a switch takes long anyway, up to a bound", () => {
    const ranks = 24;
    assert.equal(getCopiesPerRank({ loadMs: 76, passMs: 200, ranks }), 4);
    assert.equal(getCopiesPerRank({ loadMs: 76, passMs: 2000, ranks }), 6);
  });
});
