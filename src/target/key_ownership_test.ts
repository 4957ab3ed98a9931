import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { v7 as createUuid } from "uuid";
import {
  GONE_GRACE_MS,
  RequestWorld,
  WORLD_EPOCH_MS,
} from "../testing/request_world.ts";
import type { Submission } from "../testing/submissions.ts";

const OWNER = 0;
const OTHER = 1;
const MINUTE_MS = 60_000;

function createWorld(service: readonly string[] = []): RequestWorld {
  return new RequestWorld({ entries: 2, targets: 2, concurrency: 1, service });
}

/** A key that was made now. */
function createKey(world: RequestWorld): string {
  return createUuid({ msecs: WORLD_EPOCH_MS + world.now });
}

/** Keys of which the first target owns the slot. */
function createOwnedKey(world: RequestWorld, prefix = ""): string {
  for (let number = 0; number < 1000; number++) {
    const key = prefix === "" ? createKey(world) : `${prefix}-${number}`;
    if (world.ownerOf(key) === OWNER) return key;
  }
  throw new Error("No key of the first target was found");
}

/** The owner's machine is gone for good and its slots are taken. */
function moveSlots(world: RequestWorld): void {
  world.listGone(OWNER);
  world.tick(GONE_GRACE_MS + 1);
  world.lookAtTable(OTHER);
  world.settle();
}

function reasonOf(submission: Submission): string {
  if (submission.outcome === undefined) return "open";
  return submission.outcome.problem?.reason ?? "answered";
}

describe("ownership of idempotency keys", () => {
  it("answers a key that ran with the same answer, through any entry", () => {
    const world = createWorld();
    const first = world.submit(0, { key: "k" });
    world.settle();
    const second = world.submit(1, { key: "k" });
    world.settle();
    assert.equal(world.callers.runsByKey.get("k"), 1);
    assert.equal(second.outcome?.body, first.outcome?.body);
  });

  it("refuses a key that comes with another request", () => {
    const world = createWorld();
    world.submit(0, { key: "k", body: "one" });
    world.settle();
    const second = world.submit(0, { key: "k", body: "two" });
    world.settle();
    assert.equal(reasonOf(second), "KEY_REUSED");
    assert.equal(second.runs, 0);
  });

  it("tells at once that a key is in progress", () => {
    const world = createWorld();
    world.submit(0, { key: "k" });
    while (world.callers.runsByKey.get("k") !== 1) world.deliver(0);
    const second = world.submit(1, { key: "k" });
    world.deliverAll();
    assert.equal(reasonOf(second), "KEY_IN_PROGRESS");
    assert.equal(second.outcome?.problem?.outcome, "unknown");
  });

  it("runs no key at a restarted owner that others have taken over from", () => {
    const world = createWorld();
    const key = createOwnedKey(world, "old");
    world.submit(0, { key });
    world.settle();
    world.kill(OWNER);
    // Entry 0 does not hear of the move.
    world.stallBetween(0, OTHER);
    moveSlots(world);
    world.restart(OWNER);
    const again = world.submit(0, { key });
    world.settle();
    assert.equal(world.callers.runsByKey.get(key), 1);
    assert.equal(reasonOf(again), "NOT_OWNER");
  });

  it("does not know an older key after a move, but runs a newer one", () => {
    const world = createWorld();
    const old = createOwnedKey(world);
    world.submit(0, { key: old });
    world.settle();
    world.kill(OWNER);
    moveSlots(world);
    const again = world.submit(1, { key: old });
    const unordered = world.submit(1, { key: createSlotMate(world, old) });
    world.settle();
    world.tick(2 * MINUTE_MS);
    const key = createSlotMate(world, old, { isTimed: true });
    const fresh = world.submit(1, { key });
    world.settle();
    assert.equal(reasonOf(again), "KEY_HISTORY_UNKNOWN");
    assert.equal(reasonOf(unordered), "KEY_HISTORY_UNKNOWN");
    assert.equal(reasonOf(fresh), "answered");
    assert.equal(world.callers.runsByKey.get(old), 1);
  });

  it("runs no key at an owner that wakes after its slots were taken", () => {
    const world = createWorld();
    const sample = createOwnedKey(world);
    world.pause(OWNER);
    world.stallBetween(0, OTHER);
    moveSlots(world);
    world.tick(2 * MINUTE_MS);
    const key = createSlotMate(world, sample, { isTimed: true });
    const slow = world.submit(0, { key, deadlineMs: 10 * MINUTE_MS });
    const quick = world.submit(1, { key });
    world.settle();
    assert.equal(reasonOf(quick), "answered");
    world.wake(OWNER);
    world.settle();
    world.checkInvariants();
    assert.equal(reasonOf(slow), "OWNER_UNCERTAIN");
  });

  it("does not trust a read of the table from before its pause", () => {
    const world = createWorld();
    const sample = createOwnedKey(world);
    world.startLook(OWNER);
    world.pause(OWNER);
    world.stallBetween(0, OTHER);
    moveSlots(world);
    world.tick(2 * MINUTE_MS);
    world.wake(OWNER);
    world.tick(1);
    world.finishLook(OWNER);
    const key = createSlotMate(world, sample, { isTimed: true });
    world.submit(1, { key });
    const slow = world.submit(0, { key });
    world.settle();
    world.checkInvariants();
    assert.equal(reasonOf(slow), "OWNER_UNCERTAIN");
  });

  it("begins no waiting key after a pause", () => {
    const world = createWorld();
    const running = createOwnedKey(world, "first");
    const waiting = createOwnedKey(world, "second");
    world.submit(0, { key: running });
    const submission = world.submit(0, {
      key: waiting,
      deadlineMs: 10 * MINUTE_MS,
    });
    world.deliverAll();
    world.pause(OWNER);
    world.tick(MINUTE_MS);
    world.wake(OWNER);
    world.settle();
    assert.equal(reasonOf(submission), "OWNER_UNCERTAIN");
    assert.equal(submission.runs, 0);
  });

  it("goes on serving its keys while the key-value service is down", () => {
    const world = createWorld();
    world.isKeyValueDown = true;
    world.tick(10 * MINUTE_MS);
    const submissions = [0, 1, 2, 3].map((number) =>
      world.submit(number % 2, { key: `key-${number}` })
    );
    world.settle();
    assert.deepEqual(submissions.map(reasonOf), [
      "answered",
      "answered",
      "answered",
      "answered",
    ]);
  });

  it("hands its keys over when it leaves, and they are answered again", () => {
    const world = createWorld();
    const old = createOwnedKey(world, "old");
    const first = world.submit(0, { key: old });
    world.settle();
    leaveAndHandOver(world);
    const again = world.submit(1, { key: old });
    const unused = world.submit(1, { key: createSlotMate(world, old) });
    world.settle();
    assert.equal(again.outcome?.body, first.outcome?.body);
    assert.equal(world.callers.runsByKey.get(old), 1);
    assert.equal(reasonOf(unused), "answered");
  });

  it("hands over that an end is not known", () => {
    const world = createWorld();
    const key = createOwnedKey(world, "old");
    world.submit(0, { key });
    world.deliverAll();
    world.failRun(OWNER, 0);
    leaveAndHandOver(world);
    const again = world.submit(1, { key });
    world.settle();
    assert.equal(reasonOf(again), "KEY_OUTCOME_UNKNOWN");
    assert.equal(world.callers.runsByKey.get(key), 1);
  });

  it("hands over no more history than it has", () => {
    const world = createWorld();
    const key = createOwnedKey(world, "old");
    world.submit(0, { key });
    world.settle();
    world.kill(OWNER);
    moveSlots(world);
    world.restart(OWNER);
    world.listLive(OWNER);
    world.drain(OTHER);
    world.settle();
    world.release(OTHER);
    world.listGone(OTHER);
    world.lookAtTable(OWNER);
    world.handOverAll(OWNER);
    world.settle();
    const again = world.submit(0, { key });
    world.settle();
    assert.equal(reasonOf(again), "KEY_HISTORY_UNKNOWN");
    assert.equal(world.callers.runsByKey.get(key), 1);
  });

  it("forgets what was handed over once the slot has moved again", () => {
    const world = createWorld();
    const key = createOwnedKey(world, "old");
    leaveAndHandOver(world);
    world.restart(OWNER);
    world.listLive(OWNER);
    world.pause(OTHER);
    world.listGone(OTHER);
    world.tick(GONE_GRACE_MS + 1);
    world.lookAtTable(OWNER);
    world.settle();
    const first = world.submit(0, { key });
    world.settle();
    assert.equal(world.callers.runsByKey.get(key) ?? 0, 0, reasonOf(first));
    const fresh = createUuid({
      msecs: WORLD_EPOCH_MS + world.now + 2 * MINUTE_MS,
    });
    const late = findSlotMateOf(world, key, fresh);
    world.submit(0, { key: late });
    world.settle();
    assert.equal(world.callers.runsByKey.get(late), 1);
    world.kill(OWNER);
    world.listGone(OWNER);
    world.wake(OTHER);
    world.listLive(OTHER);
    world.tick(GONE_GRACE_MS + 1);
    world.lookAtTable(OTHER);
    world.settle();
    const again = world.submit(1, { key: late });
    world.settle();
    assert.equal(reasonOf(again), "KEY_HISTORY_UNKNOWN");
    assert.equal(world.callers.runsByKey.get(late), 1);
  });

  it("takes no keys over from one who may still run some", () => {
    const world = createWorld();
    const old = createOwnedKey(world, "old");
    world.submit(0, { key: old });
    while (world.callers.runsByKey.get(old) !== 1) world.deliver(0);
    world.drain(OWNER);
    world.release(OWNER);
    assert.equal(world.ownerOf(old), OWNER, "It has not drained yet");
  });

  it("says that a key has not run only where that is known", () => {
    const world = createWorld();
    const key = createOwnedKey(world, "k");
    world.kill(OWNER);
    const submission = world.submit(0, { key });
    assert.equal(reasonOf(submission), "NO_KEY_OWNER");
    assert.equal(submission.outcome?.problem?.outcome, "unknown");
    assert.equal(submission.outcome?.problem?.submission, "not-run");
  });
});

/** A key of the same slot that says it was made at the time of `sample`. */
function findSlotMateOf(
  world: RequestWorld,
  key: string,
  sample: string,
): string {
  const time = sample.slice(0, 13);
  for (let number = 0; number < 10_000; number++) {
    const tail = number.toString(16).padStart(12, "0");
    const mate = `${time}-7000-8000-${tail}`;
    if (world.slotOf(mate) === world.slotOf(key)) return mate;
  }
  throw new Error("No other key of the slot was found");
}

function leaveAndHandOver(world: RequestWorld): void {
  world.drain(OWNER);
  world.settle();
  world.release(OWNER);
  world.listGone(OWNER);
  world.lookAtTable(OTHER);
  world.handOverAll(OTHER);
  world.settle();
}

/** Another key of the same slot. */
function createSlotMate(
  world: RequestWorld,
  sample: string,
  options: { readonly isTimed?: boolean } = {},
): string {
  for (let number = 0; number < 10_000; number++) {
    const key = options.isTimed ? createKey(world) : `mate-${number}`;
    if (world.slotOf(key) === world.slotOf(sample)) return key;
  }
  throw new Error("No other key of the slot was found");
}
