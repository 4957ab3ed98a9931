import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GroupState } from "./group_belief.ts";

describe("what is believed of a rank group", () => {
  it("is that it runs, until it is seen not to", () => {
    const group = new GroupState("group");
    assert.equal(group.isClosed(0), false);
    assert.equal(group.observe({ isOpen: false, observedAt: 10 }), true);
    assert.equal(group.isClosed(20), true);
  });

  it("follows the newest sight, in whichever order they arrive", () => {
    const group = new GroupState("group");
    group.observe({ isOpen: true, observedAt: 100 });
    // The decider looked before a rank did, and its word took longer.
    assert.equal(group.observe({ isOpen: false, observedAt: 40 }), false);
    assert.equal(group.isClosed(110), false);
  });

  it("is not held against the group when nobody tells any more", () => {
    const group = new GroupState("group");
    group.observe({ isOpen: false, observedAt: 0 });
    assert.equal(group.isClosed(1400), true);
    assert.equal(group.isClosed(1600), false);
  });
});
