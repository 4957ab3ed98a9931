/**
 * Guards against sending requests to a target that has announced to some entries that it
 * is leaving, while lists still name it, lack it for a moment, or name it long
 * afterwards.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeavingTargets } from "./leaving_targets.ts";

const MINUTE_MS = 60_000;
const LISTED = new Set(["i-1"]);
const UNLISTED = new Set<string>();

function createLeaving(...targets: readonly string[]): LeavingTargets {
  const leaving = new LeavingTargets();
  for (const target of targets) leaving.record(target, 0);
  return leaving;
}

describe("a target that has announced that it is leaving", () => {
  it("is new only once", () => {
    const leaving = new LeavingTargets();
    assert.ok(leaving.record("i-1", 0));
    assert.ok(!leaving.record("i-1", 10));
    assert.ok(leaving.has("i-1"));
    assert.ok(!leaving.has("i-2"));
  });

  it("is remembered as long as it is listed", () => {
    const leaving = createLeaving("i-1");
    for (let minute = 1; minute < 60; minute++) {
      leaving.setListed(LISTED, minute * MINUTE_MS);
    }
    assert.ok(leaving.has("i-1"));
    assert.equal(leaving.listedCount, 1);
  });

  it("is remembered while it is unlisted for minutes, but not indefinitely", () => {
    const leaving = createLeaving("i-1");
    leaving.setListed(UNLISTED, 9 * MINUTE_MS);
    assert.ok(leaving.has("i-1"));
    leaving.setListed(UNLISTED, 11 * MINUTE_MS);
    assert.ok(!leaving.has("i-1"));
    assert.equal(leaving.content, "");
  });
});

describe("entries that replicate leaving targets", () => {
  it("reach the same state, and do not report a target as new twice", () => {
    const [first, second] = [createLeaving("i-1"), createLeaving("i-2")];
    assert.equal(second.merge(first.list(), 10).length, 1);
    assert.equal(first.merge(second.list(), 10).length, 1);
    assert.equal(first.content, second.content);
    assert.equal(first.merge(second.list(), 20).length, 0);
  });

  it("do not restore a target that was removed long ago", () => {
    const [first, second] = [createLeaving("i-1"), new LeavingTargets()];
    second.setListed(UNLISTED, 0);
    assert.deepEqual(second.merge(first.list(), 11 * MINUTE_MS), []);
  });
});
