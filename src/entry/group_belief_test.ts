import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GroupBelief } from "./group_belief.ts";

describe("what is believed of a rank group", () => {
  it("is that it runs, until it is seen not to", () => {
    const group = new GroupBelief("group");
    assert.equal(group.isClosed(0), false);
    assert.equal(group.see({ isOpen: false, seenAt: 10 }), true);
    assert.equal(group.isClosed(20), true);
  });

  it("follows the newest sight, in whichever order they arrive", () => {
    const group = new GroupBelief("group");
    group.see({ isOpen: true, seenAt: 100 });
    // The decider looked before a rank did, and its word took longer.
    assert.equal(group.see({ isOpen: false, seenAt: 40 }), false);
    assert.equal(group.isClosed(110), false);
  });

  it("is not held against the group when nobody tells any more", () => {
    const group = new GroupBelief("group");
    group.see({ isOpen: false, seenAt: 0 });
    assert.equal(group.isClosed(1400), true);
    assert.equal(group.isClosed(1600), false);
  });
});
