import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getMaxCopiesPerRank } from "./copies_per_rank.ts";

describe("limit of copies at a rank for one map", () => {
  it("allows as many copies as fit into the time limit, and at least one", () => {
    const ranks = 24;
    assert.equal(getMaxCopiesPerRank({ loadMs: 76, passMs: 60, ranks }), 2);
    assert.equal(getMaxCopiesPerRank({ loadMs: 400, passMs: 60, ranks }), 1);
    assert.equal(
      getMaxCopiesPerRank({ loadMs: 76, passMs: undefined, ranks }),
      2,
    );
  });

  it("is lower in large groups, where copies take longer to plan", () => {
    assert.equal(getMaxCopiesPerRank({ loadMs: 38, passMs: 60, ranks: 12 }), 3);
    assert.equal(getMaxCopiesPerRank({ loadMs: 38, passMs: 60, ranks: 64 }), 2);
    assert.equal(
      getMaxCopiesPerRank({ loadMs: 38, passMs: 60, ranks: 200 }),
      1,
    );
  });

  it("is higher when passes are slow, up to a maximum", () => {
    const ranks = 24;
    assert.equal(getMaxCopiesPerRank({ loadMs: 76, passMs: 200, ranks }), 4);
    assert.equal(getMaxCopiesPerRank({ loadMs: 76, passMs: 2000, ranks }), 6);
  });
});
