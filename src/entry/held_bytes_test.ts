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
