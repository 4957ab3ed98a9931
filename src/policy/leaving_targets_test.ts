/**
 * The pattern that these tests tell of: a target says to some entries that it leaves, while
 * lists name it, lack it for a moment, or name it long after.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeavingTargets } from "./leaving_targets.ts";

const MINUTE_MS = 60_000;
const LISTED = new Set(["i-1"]);
const UNLISTED = new Set<string>();

function createLeaving(...targets: readonly string[]): LeavingTargets {
  const leaving = new LeavingTargets();
  for (const target of targets) leaving.note(target, 0);
  return leaving;
}

describe("a target that has said that it leaves", () => {
  it("is news once", () => {
    const leaving = new LeavingTargets();
    assert.ok(leaving.note("i-1", 0));
    assert.ok(!leaving.note("i-1", 10));
    assert.ok(leaving.has("i-1"));
    assert.ok(!leaving.has("i-2"));
  });

  it("is remembered for as long as it is listed", () => {
    const leaving = createLeaving("i-1");
    for (let minute = 1; minute < 60; minute++) {
      leaving.setListed(LISTED, minute * MINUTE_MS);
    }
    assert.ok(leaving.has("i-1"));
    assert.equal(leaving.listedCount, 1);
  });

  it("is remembered while lists lack it for minutes, and not for ever", () => {
    const leaving = createLeaving("i-1");
    leaving.setListed(UNLISTED, 9 * MINUTE_MS);
    assert.ok(leaving.has("i-1"));
    leaving.setListed(UNLISTED, 11 * MINUTE_MS);
    assert.ok(!leaving.has("i-1"));
    assert.equal(leaving.content, "");
  });
});

describe("entries that tell each other who leaves", () => {
  it("come to the same memory, and are told no news twice", () => {
    const [first, second] = [createLeaving("i-1"), createLeaving("i-2")];
    assert.equal(second.merge(first.list(), 10).length, 1);
    assert.equal(first.merge(second.list(), 10).length, 1);
    assert.equal(first.content, second.content);
    assert.equal(first.merge(second.list(), 20).length, 0);
  });

  it("do not bring back what is long gone", () => {
    const [first, second] = [createLeaving("i-1"), new LeavingTargets()];
    second.setListed(UNLISTED, 0);
    assert.deepEqual(second.merge(first.list(), 11 * MINUTE_MS), []);
  });
});
