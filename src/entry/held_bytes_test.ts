import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeldBytes, type HeldBytesAction } from "./held_bytes.ts";

const KIB = 1024;
const LIMIT = 1024 * KIB;

/** Sets the unsent KiB of a caller; returns the actions in words. */
function updateUnsent(
  held: HeldBytes,
  caller: number,
  kib: number,
  now: number,
) {
  const answer = { unsentBytes: kib * KIB, receivedBytes: 0 };
  return held.updateAnswer(caller, answer, now).map(describeAction);
}

function describeAction({ kind, caller }: HeldBytesAction): string {
  return `${kind} ${caller}`;
}

describe("bytes held for callers", () => {
  it("stay within the limit with many slow callers", () => {
    const held = new HeldBytes(LIMIT);
    const cut: string[] = [];
    for (let round = 1; round <= 60; round++) {
      for (let caller = 0; caller < 100; caller++) {
        const actions = updateUnsent(held, caller, round, round * 10);
        cut.push(...actions.filter((action) => action.startsWith("cut")));
        assert.ok(held.heldBytes <= LIMIT);
      }
    }
    assert.ok(cut.length > 0 && cut.length < 100);
    assert.equal(new Set(cut).size, cut.length);
  });

  it("above the limit cut off the largest stalled caller, not a larger one that reads", () => {
    const held = new HeldBytes(LIMIT);
    updateUnsent(held, 1, 600, 0);
    updateUnsent(held, 2, 100, 0);
    updateUnsent(held, 3, 200, 0);
    updateUnsent(held, 1, 590, 900);
    assert.deepEqual(updateUnsent(held, 4, 200, 1500), ["pause 4", "cut 3"]);
    assert.equal(held.heldBytes, 890 * KIB);
  });

  it("above the limit cut off the largest caller if none is stalled", () => {
    const held = new HeldBytes(LIMIT);
    updateUnsent(held, 1, 600, 0);
    assert.deepEqual(updateUnsent(held, 2, 500, 10), ["pause 2", "cut 1"]);
    assert.deepEqual(
      updateUnsent(held, 1, 700, 20),
      [],
      "Callers that are being cut off are ignored",
    );
    assert.equal(held.heldBytes, 500 * KIB);
  });

  it("of a burst that is read pause and resume its back end once, and cut off no caller", () => {
    const held = new HeldBytes(LIMIT);
    const actions = [10, 64, 65, 128, 90, 17, 16, 0].flatMap((kib, index) =>
      updateUnsent(held, 1, kib, index * 10)
    );
    assert.deepEqual(actions, ["pause 1", "resume 1"]);
    assert.equal(held.heldBytes + held.pausedCallers, 0);
  });

  it("are released when a caller disconnects while paused", () => {
    const held = new HeldBytes(LIMIT);
    updateUnsent(held, 1, 100, 0);
    held.addBodyBytes(1, 10 * KIB, 0);
    assert.ok(held.isPaused(1));
    held.release(1);
    assert.equal(held.heldBytes + held.pausedCallers, 0);
  });

  it("include what a paused back end has received", () => {
    const held = new HeldBytes(LIMIT);
    updateUnsent(held, 1, 100, 0);
    const answer = { unsentBytes: 100 * KIB, receivedBytes: LIMIT };
    assert.deepEqual(held.updateAnswer(1, answer, 10).map(describeAction), [
      "cut 1",
    ]);
  });
});

describe("request bodies", () => {
  it("are not read beyond their share of the limit, or beyond what answers leave of it", () => {
    const held = new HeldBytes(LIMIT);
    assert.ok(held.canReadBody(0.75 * LIMIT));
    assert.ok(!held.canReadBody(0.75 * LIMIT + 1));
    updateUnsent(held, 1, 1000, 0);
    assert.ok(!held.canReadBody(25 * KIB));
    held.release(1);
    assert.ok(held.canReadBody(25 * KIB));
  });

  it("cut off a stalled caller, never one that reads", () => {
    const held = new HeldBytes(LIMIT);
    updateUnsent(held, 1, 600, 0);
    const early = held.addBodyBytes(2, 500 * KIB, 500);
    assert.deepEqual(early, { isAllowed: false, actions: [] });
    held.releaseBody(2);
    const late = held.addBodyBytes(2, 500 * KIB, 1000);
    assert.ok(late.isAllowed);
    assert.deepEqual(late.actions.map(describeAction), ["cut 1"]);
  });
});

describe("request bodies that do not get on", () => {
  const LARGE = 0.7 * LIMIT;

  // Guards against ordinary callers that are refused for bodies that never end.
  it("are given up for others, the one that held most for the longest first", () => {
    const held = new HeldBytes(LIMIT);
    held.addBodyBytes(1, 0.1 * LIMIT, 0);
    held.addBodyBytes(2, 0.6 * LIMIT, 0);
    const early = held.makeRoomForBody(3, 0.1 * LIMIT, 900);
    assert.deepEqual(early, { isAllowed: false, actions: [] });
    const late = held.makeRoomForBody(3, 0.1 * LIMIT, 1000);
    assert.ok(late.isAllowed);
    assert.deepEqual(late.actions.map(describeAction), ["refuse_body 2"]);
  });

  it("are given up although they grow by a few bytes", () => {
    const held = new HeldBytes(LIMIT);
    held.addBodyBytes(1, LARGE, 0);
    for (let now = 0; now < 2000; now += 100) held.addBodyBytes(1, 1, now);
    const { actions } = held.makeRoomForBody(2, 0.1 * LIMIT, 2000);
    assert.deepEqual(actions.map(describeAction), ["refuse_body 1"]);
  });

  it("are kept if they arrive, though no more memory is held for them", () => {
    const held = new HeldBytes(LIMIT);
    held.addBodyBytes(1, LARGE, 0);
    for (let second = 1; second <= 5; second++) {
      held.recordBodyProgress(1, LARGE + second * 4 * KIB, second * 1000);
    }
    const larger = held.makeRoomForBody(2, 0.74 * LIMIT, 5500);
    assert.deepEqual(larger, { isAllowed: false, actions: [] });
  });

  it("are kept if they are complete", () => {
    const held = new HeldBytes(LIMIT);
    held.addBodyBytes(1, LARGE, 0);
    held.completeBody(1);
    assert.deepEqual(held.makeRoomForBody(2, 0.1 * LIMIT, 9000), {
      isAllowed: false,
      actions: [],
    });
  });
});

describe("one request body that is larger than the limit", () => {
  const DECLARED = 1.5 * LIMIT;

  it("is read, and leaves room for small ones and for answers", () => {
    const held = new HeldBytes(LIMIT);
    assert.ok(held.makeRoomForBody(1, DECLARED, 0).isAllowed);
    for (let now = 0; now < 15; now++) {
      assert.ok(held.addBodyBytes(1, 0.1 * LIMIT, now).isAllowed);
    }
    held.completeBody(1);
    assert.ok(held.addBodyBytes(2, 0.1 * LIMIT, 20).isAllowed);
    assert.deepEqual(updateUnsent(held, 3, 400, 20), ["pause 3"]);
  });

  it("leaves small ones alone that do not get on", () => {
    const held = new HeldBytes(LIMIT);
    held.addBodyBytes(1, 0.1 * LIMIT, 0);
    const decision = held.makeRoomForBody(2, DECLARED, 9000);
    assert.deepEqual(decision, { isAllowed: true, actions: [] });
  });

  it("is refused beside another one, and beside large answers", () => {
    const held = new HeldBytes(LIMIT);
    assert.ok(held.makeRoomForBody(1, DECLARED, 0).isAllowed);
    assert.ok(!held.makeRoomForBody(2, DECLARED, 0).isAllowed);
    held.release(1);
    updateUnsent(held, 3, 600, 0);
    assert.ok(!held.makeRoomForBody(2, DECLARED, 0).isAllowed);
  });

  it("is refused when answers need its memory before it is complete", () => {
    const held = new HeldBytes(LIMIT);
    held.makeRoomForBody(1, DECLARED, 0);
    held.addBodyBytes(1, LIMIT, 0);
    const actions = updateUnsent(held, 2, 600, 10);
    assert.deepEqual(actions, ["pause 2", "refuse_body 1"]);
  });
});
