import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getCopiesPerRank } from "./copies_per_rank.ts";

describe("copies at a rank for one map", () => {
  it("are as many as fit into a short time, and one at least", () => {
    assert.equal(getCopiesPerRank(76, 60), 2);
    assert.equal(getCopiesPerRank(400, 60), 1);
    assert.equal(getCopiesPerRank(76, undefined), 2);
  });

  it("are more while a switch takes long anyway, up to a bound", () => {
    assert.equal(getCopiesPerRank(76, 200), 5);
    assert.equal(getCopiesPerRank(76, 2000), 6);
  });
});
