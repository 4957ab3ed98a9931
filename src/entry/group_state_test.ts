import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GroupState } from "./group_state.ts";

describe("the known state of a rank group", () => {
  it("is that the group runs until it is observed as closed", () => {
    const group = new GroupState("group");
    assert.equal(group.isClosed(0), false);
    assert.equal(group.observe({ isOpen: false, observedAt: 10 }), true);
    assert.equal(group.isClosed(20), true);
  });

  it("follows the newest observation, regardless of the order of arrival", () => {
    const group = new GroupState("group");
    group.observe({ isOpen: true, observedAt: 100 });
    // The decider observed the group before a rank did, and its report took longer.
    assert.equal(group.observe({ isOpen: false, observedAt: 40 }), false);
    assert.equal(group.isClosed(110), false);
  });

  it("is no longer closed when reports stop", () => {
    const group = new GroupState("group");
    group.observe({ isOpen: false, observedAt: 0 });
    assert.equal(group.isClosed(1400), true);
    assert.equal(group.isClosed(1600), false);
  });
});
