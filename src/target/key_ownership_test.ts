/**
 * Guards against running a request with an idempotency key twice, or reporting it as not
 * run although it may have run. This can happen when the slot of the key moves to another
 * target while its previous owner is frozen, restarts or hands over its keys, and when
 * the key-value service is down.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { v7 as createUuid } from "uuid";
import {
  GONE_GRACE_MS,
  RequestSimulation,
  SIMULATION_START_MS,
} from "../testing/request_simulation.ts";
import type { Submission } from "../testing/submissions.ts";

const OWNER = 0;
const OTHER = 1;
const MINUTE_MS = 60_000;

function createSimulation(service: readonly string[] = []): RequestSimulation {
  return new RequestSimulation({
    entries: 2,
    targets: 2,
    concurrency: 1,
    service,
  });
}

/** Creates a key whose timestamp is the current time. */
function createKey(simulation: RequestSimulation): string {
  return createUuid({ msecs: SIMULATION_START_MS + simulation.now });
}

/** Creates a key in a slot of the first target. */
function createOwnedKey(simulation: RequestSimulation, prefix = ""): string {
  for (let number = 0; number < 1000; number++) {
    const key = prefix === "" ? createKey(simulation) : `${prefix}-${number}`;
    if (simulation.getOwner(key) === OWNER) return key;
  }
  throw new Error("No key of the first target was found");
}

/** Lists the owner's VM as gone and lets the other target claim its slots. */
function moveSlotsToOther(simulation: RequestSimulation): void {
  simulation.listGone(OWNER);
  simulation.tick(GONE_GRACE_MS + 1);
  simulation.readAndClaim(OTHER);
  simulation.settle();
}

function getReason(submission: Submission): string {
  if (submission.outcome === undefined) return "open";
  return submission.outcome.problem?.reason ?? "answered";
}

describe("ownership of idempotency keys", () => {
  it("replays the answer of a key that ran, through any entry", () => {
    const simulation = createSimulation();
    const first = simulation.submit(0, { key: "k" });
    simulation.settle();
    const second = simulation.submit(1, { key: "k" });
    simulation.settle();
    assert.equal(simulation.callers.runsByKey.get("k"), 1);
    assert.equal(second.outcome?.body, first.outcome?.body);
  });

  it("refuses a key that was used with another request", () => {
    const simulation = createSimulation();
    simulation.submit(0, { key: "k", body: "one" });
    simulation.settle();
    const second = simulation.submit(0, { key: "k", body: "two" });
    simulation.settle();
    assert.equal(getReason(second), "KEY_REUSED");
    assert.equal(second.runs, 0);
  });

  it("refuses a key immediately while its request is in progress", () => {
    const simulation = createSimulation();
    simulation.submit(0, { key: "k" });
    while (simulation.callers.runsByKey.get("k") !== 1) simulation.deliver(0);
    const second = simulation.submit(1, { key: "k" });
    simulation.deliverAll();
    assert.equal(getReason(second), "KEY_IN_PROGRESS");
    assert.equal(second.outcome?.problem?.outcome, "unknown");
  });

  it("runs no key at a restarted owner whose slots were claimed", () => {
    const simulation = createSimulation();
    const key = createOwnedKey(simulation, "old");
    simulation.submit(0, { key });
    simulation.settle();
    simulation.kill(OWNER);
    // Entry 0 does not learn of the move.
    simulation.stallBetween(0, OTHER);
    moveSlotsToOther(simulation);
    simulation.restart(OWNER);
    const retry = simulation.submit(0, { key });
    simulation.settle();
    assert.equal(simulation.callers.runsByKey.get(key), 1);
    assert.equal(getReason(retry), "NOT_OWNER");
  });

  it("refuses keys older than a move and runs newer ones", () => {
    const simulation = createSimulation();
    const oldKey = createOwnedKey(simulation);
    simulation.submit(0, { key: oldKey });
    simulation.settle();
    simulation.kill(OWNER);
    moveSlotsToOther(simulation);
    const retry = simulation.submit(1, { key: oldKey });
    const untimed = simulation.submit(1, {
      key: createKeyOfSameSlot(simulation, oldKey),
    });
    simulation.settle();
    simulation.tick(2 * MINUTE_MS);
    const key = createKeyOfSameSlot(simulation, oldKey, { isTimed: true });
    const fresh = simulation.submit(1, { key });
    simulation.settle();
    assert.equal(getReason(retry), "KEY_HISTORY_UNKNOWN");
    assert.equal(getReason(untimed), "KEY_HISTORY_UNKNOWN");
    assert.equal(getReason(fresh), "answered");
    assert.equal(simulation.callers.runsByKey.get(oldKey), 1);
  });

  it("runs no key at an owner that resumes after losing its slots", () => {
    const simulation = createSimulation();
    const sample = createOwnedKey(simulation);
    simulation.pause(OWNER);
    simulation.stallBetween(0, OTHER);
    moveSlotsToOther(simulation);
    simulation.tick(2 * MINUTE_MS);
    const key = createKeyOfSameSlot(simulation, sample, { isTimed: true });
    const slow = simulation.submit(0, { key, deadlineMs: 10 * MINUTE_MS });
    const quick = simulation.submit(1, { key });
    simulation.settle();
    assert.equal(getReason(quick), "answered");
    simulation.resume(OWNER);
    simulation.settle();
    simulation.checkInvariants();
    assert.equal(getReason(slow), "OWNER_UNCERTAIN");
  });

  it("does not trust a table read that was requested before a freeze", () => {
    const simulation = createSimulation();
    const sample = createOwnedKey(simulation);
    simulation.startRead(OWNER);
    simulation.pause(OWNER);
    simulation.stallBetween(0, OTHER);
    moveSlotsToOther(simulation);
    simulation.tick(2 * MINUTE_MS);
    simulation.resume(OWNER);
    simulation.tick(1);
    simulation.finishRead(OWNER);
    const key = createKeyOfSameSlot(simulation, sample, { isTimed: true });
    simulation.submit(1, { key });
    const slow = simulation.submit(0, { key });
    simulation.settle();
    simulation.checkInvariants();
    assert.equal(getReason(slow), "OWNER_UNCERTAIN");
  });

  it("starts no queued key after a freeze", () => {
    const simulation = createSimulation();
    const running = createOwnedKey(simulation, "first");
    const queuedKey = createOwnedKey(simulation, "second");
    simulation.submit(0, { key: running });
    const submission = simulation.submit(0, {
      key: queuedKey,
      deadlineMs: 10 * MINUTE_MS,
    });
    simulation.deliverAll();
    simulation.pause(OWNER);
    simulation.tick(MINUTE_MS);
    simulation.resume(OWNER);
    simulation.settle();
    assert.equal(getReason(submission), "OWNER_UNCERTAIN");
    assert.equal(submission.runs, 0);
  });

  it("continues to serve its keys while the key-value service is down", () => {
    const simulation = createSimulation();
    simulation.isKeyValueDown = true;
    simulation.tick(10 * MINUTE_MS);
    const submissions = [0, 1, 2, 3].map((number) =>
      simulation.submit(number % 2, { key: `key-${number}` })
    );
    simulation.settle();
    assert.deepEqual(submissions.map(getReason), [
      "answered",
      "answered",
      "answered",
      "answered",
    ]);
  });

  it("hands over its keys when it leaves, and replays their answers", () => {
    const simulation = createSimulation();
    const oldKey = createOwnedKey(simulation, "old");
    const first = simulation.submit(0, { key: oldKey });
    simulation.settle();
    leaveAndHandOver(simulation);
    const retry = simulation.submit(1, { key: oldKey });
    const unused = simulation.submit(1, {
      key: createKeyOfSameSlot(simulation, oldKey),
    });
    simulation.settle();
    assert.equal(retry.outcome?.body, first.outcome?.body);
    assert.equal(simulation.callers.runsByKey.get(oldKey), 1);
    assert.equal(getReason(unused), "answered");
  });

  it("hands over that the outcome of a key is unknown", () => {
    const simulation = createSimulation();
    const key = createOwnedKey(simulation, "old");
    simulation.submit(0, { key });
    simulation.deliverAll();
    simulation.failRun(OWNER, 0);
    leaveAndHandOver(simulation);
    const retry = simulation.submit(1, { key });
    simulation.settle();
    assert.equal(getReason(retry), "KEY_OUTCOME_UNKNOWN");
    assert.equal(simulation.callers.runsByKey.get(key), 1);
  });

  it("hands over no more history than it has", () => {
    const simulation = createSimulation();
    const key = createOwnedKey(simulation, "old");
    simulation.submit(0, { key });
    simulation.settle();
    simulation.kill(OWNER);
    moveSlotsToOther(simulation);
    simulation.restart(OWNER);
    simulation.listLive(OWNER);
    simulation.drain(OTHER);
    simulation.settle();
    simulation.release(OTHER);
    simulation.listGone(OTHER);
    simulation.readAndClaim(OWNER);
    simulation.handOverAll(OWNER);
    simulation.settle();
    const retry = simulation.submit(0, { key });
    simulation.settle();
    assert.equal(getReason(retry), "KEY_HISTORY_UNKNOWN");
    assert.equal(simulation.callers.runsByKey.get(key), 1);
  });

  it("discards a history once its slot has moved again", () => {
    const simulation = createSimulation();
    const key = createOwnedKey(simulation, "old");
    leaveAndHandOver(simulation);
    simulation.restart(OWNER);
    simulation.listLive(OWNER);
    simulation.pause(OTHER);
    simulation.listGone(OTHER);
    simulation.tick(GONE_GRACE_MS + 1);
    simulation.readAndClaim(OWNER);
    simulation.settle();
    const first = simulation.submit(0, { key });
    simulation.settle();
    assert.equal(
      simulation.callers.runsByKey.get(key) ?? 0,
      0,
      getReason(first),
    );
    const recentKey = createUuid({
      msecs: SIMULATION_START_MS + simulation.now + 2 * MINUTE_MS,
    });
    const late = createTimedKeyOfSameSlot(simulation, key, recentKey);
    simulation.submit(0, { key: late });
    simulation.settle();
    assert.equal(simulation.callers.runsByKey.get(late), 1);
    simulation.kill(OWNER);
    simulation.listGone(OWNER);
    simulation.resume(OTHER);
    simulation.listLive(OTHER);
    simulation.tick(GONE_GRACE_MS + 1);
    simulation.readAndClaim(OTHER);
    simulation.settle();
    const retry = simulation.submit(1, { key: late });
    simulation.settle();
    assert.equal(getReason(retry), "KEY_HISTORY_UNKNOWN");
    assert.equal(simulation.callers.runsByKey.get(late), 1);
  });

  it("takes over no keys from a target that may still run some", () => {
    const simulation = createSimulation();
    const oldKey = createOwnedKey(simulation, "old");
    simulation.submit(0, { key: oldKey });
    while (simulation.callers.runsByKey.get(oldKey) !== 1) {
      simulation.deliver(0);
    }
    simulation.drain(OWNER);
    simulation.release(OWNER);
    assert.equal(
      simulation.getOwner(oldKey),
      OWNER,
      "The owner has not drained yet",
    );
  });

  it("reports a key as not run only where that is known", () => {
    const simulation = createSimulation();
    const key = createOwnedKey(simulation, "k");
    simulation.kill(OWNER);
    const submission = simulation.submit(0, { key });
    assert.equal(getReason(submission), "NO_KEY_OWNER");
    assert.equal(submission.outcome?.problem?.outcome, "unknown");
    assert.equal(submission.outcome?.problem?.submission, "not-run");
  });
});

/** Creates a key in the slot of `key` with the timestamp of `sample`. */
function createTimedKeyOfSameSlot(
  simulation: RequestSimulation,
  key: string,
  sample: string,
): string {
  const time = sample.slice(0, 13);
  for (let number = 0; number < 10_000; number++) {
    const tail = number.toString(16).padStart(12, "0");
    const candidate = `${time}-7000-8000-${tail}`;
    if (simulation.getSlot(candidate) === simulation.getSlot(key)) {
      return candidate;
    }
  }
  throw new Error("No other key of the slot was found");
}

/** Drains the owner and lets the other target claim its slots and fetch its keys. */
function leaveAndHandOver(simulation: RequestSimulation): void {
  simulation.drain(OWNER);
  simulation.settle();
  simulation.release(OWNER);
  simulation.listGone(OWNER);
  simulation.readAndClaim(OTHER);
  simulation.handOverAll(OTHER);
  simulation.settle();
}

/** Creates another key in the slot of `sample`. */
function createKeyOfSameSlot(
  simulation: RequestSimulation,
  sample: string,
  options: { readonly isTimed?: boolean } = {},
): string {
  for (let number = 0; number < 10_000; number++) {
    const key = options.isTimed ? createKey(simulation) : `mate-${number}`;
    if (simulation.getSlot(key) === simulation.getSlot(sample)) return key;
  }
  throw new Error("No other key of the slot was found");
}
