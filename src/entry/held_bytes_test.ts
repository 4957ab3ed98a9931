import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeldBytes, type HeldBytesOrder } from "./held_bytes.ts";

const KIB = 1024;
const LIMIT = 1024 * KIB;

/** Notes so many KiB unsent for a caller. */
function note(held: HeldBytes, caller: number, kib: number, now: number) {
  const answer = { unsentBytes: kib * KIB, receivedBytes: 0 };
  return held.noteAnswer(caller, answer, now).map(nameOf);
}

function nameOf({ kind, caller }: HeldBytesOrder): string {
  return `${kind} ${caller}`;
}

describe("bytes held for callers", () => {
  it("of many slow readers stay within the limit", () => {
    const held = new HeldBytes(LIMIT);
    const cut: string[] = [];
    for (let round = 1; round <= 60; round++) {
      for (let caller = 0; caller < 100; caller++) {
        const orders = note(held, caller, round, round * 10);
        cut.push(...orders.filter((order) => order.startsWith("cut")));
        assert.ok(held.heldBytes <= LIMIT);
      }
    }
    assert.ok(cut.length > 0 && cut.length < 100);
    assert.equal(new Set(cut).size, cut.length);
  });

  it("cut the largest of the stalled, not a larger one that reads", () => {
    const held = new HeldBytes(LIMIT);
    note(held, 1, 600, 0);
    note(held, 2, 100, 0);
    note(held, 3, 200, 0);
    note(held, 1, 590, 900);
    assert.deepEqual(note(held, 4, 200, 1500), ["pause 4", "cut 3"]);
    assert.equal(held.heldBytes, 890 * KIB);
  });

  it("cut the largest of all where none is stalled", () => {
    const held = new HeldBytes(LIMIT);
    note(held, 1, 600, 0);
    assert.deepEqual(note(held, 2, 500, 10), ["pause 2", "cut 1"]);
    assert.deepEqual(note(held, 1, 700, 20), [], "it is being cut");
    assert.equal(held.heldBytes, 500 * KIB);
  });

  it("of a burst that drains pause and resume its back end once, and cut nobody", () => {
    const held = new HeldBytes(LIMIT);
    const orders = [10, 64, 65, 128, 90, 17, 16, 0].flatMap((kib, index) =>
      note(held, 1, kib, index * 10)
    );
    assert.deepEqual(orders, ["pause 1", "resume 1"]);
    assert.equal(held.heldBytes + held.pausedCallers, 0);
  });

  it("are freed when a caller leaves while paused", () => {
    const held = new HeldBytes(LIMIT);
    note(held, 1, 100, 0);
    held.noteBody(1, 10 * KIB, 0);
    assert.ok(held.isPaused(1));
    held.forget(1);
    assert.equal(held.heldBytes + held.pausedCallers, 0);
  });

  it("include what a paused back end has received", () => {
    const held = new HeldBytes(LIMIT);
    note(held, 1, 100, 0);
    const answer = { unsentBytes: 100 * KIB, receivedBytes: LIMIT };
    assert.deepEqual(held.noteAnswer(1, answer, 10).map(nameOf), ["cut 1"]);
  });
});

describe("request bodies", () => {
  it("are not read when they do not fit, and leave room for answers", () => {
    const held = new HeldBytes(LIMIT);
    assert.ok(held.mayReadBody(0.75 * LIMIT));
    assert.ok(!held.mayReadBody(0.75 * LIMIT + 1));
    note(held, 1, 1000, 0);
    assert.ok(!held.mayReadBody(25 * KIB));
    held.forget(1);
    assert.ok(held.mayReadBody(25 * KIB));
  });

  it("cut a caller that is stalled, and never one that reads", () => {
    const held = new HeldBytes(LIMIT);
    note(held, 1, 600, 0);
    const early = held.noteBody(2, 500 * KIB, 500);
    assert.deepEqual(early, { isAllowed: false, orders: [] });
    held.forgetBody(2);
    const late = held.noteBody(2, 500 * KIB, 1000);
    assert.ok(late.isAllowed);
    assert.deepEqual(late.orders.map(nameOf), ["cut 1"]);
  });
});
