/**
 * Guards against refusing the wrong prompts when a part of them crashes every target that
 * begins to answer. All other parts of these prompts, and of those that ran beside them,
 * occur in harmless prompts, too.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Crash } from "./crash_history.ts";
import { createPartId, isPartId, PoisonParts } from "./poison_parts.ts";

const POISON = createPartId("pool", "poison");
const COMMON = createPartId("pool", "common");
const RARE = createPartId("pool", "rare");
const REQUEST_ID = 1;
/** Milliseconds between two crashes, and from the last one to the decision. */
const CRASH_INTERVAL_MS = 4000;
const SETTLED_AFTER_MS = 600;
const FIRST_AT = 100_000;

/** Creates an entry that has seen requests, most of which begin with a common part. */
function createParts(self = "entry-1"): PoisonParts {
  const parts = new PoisonParts(self);
  parts.setEntries(["entry-1", "entry-2", "entry-3"]);
  for (let number = 0; number < 100; number++) parts.recordArrival([COMMON]);
  return parts;
}

function createCrash(number: number, at: number): Crash {
  return { target: `target-${number}`, aliveAt: at - 200, endedAt: at };
}

/** Records crashes, one after the other, and decides; returns when that was. */
function crash(
  parts: PoisonParts,
  ids: readonly string[],
  crashes = 3,
): number {
  let now = FIRST_AT;
  for (let number = 0; number < crashes; number++) {
    now = FIRST_AT + number * CRASH_INTERVAL_MS;
    parts.recordCrash(ids, createCrash(number, now), now);
  }
  return settle(parts, now);
}

function settle(
  parts: PoisonParts,
  now: number,
  explainedTargets: readonly string[] = [],
): number {
  parts.updateRefused(explainedTargets, now);
  parts.updateRefused(explainedTargets, now + SETTLED_AFTER_MS);
  return now + SETTLED_AFTER_MS;
}

function isRefused(
  parts: PoisonParts,
  id: string,
  now: number,
  requestId = REQUEST_ID,
): boolean {
  return parts.tryFindRefused([id], { requestId, now }) !== undefined;
}

describe("a part of prompts", () => {
  it("is refused after three targets have crashed under it", () => {
    const two = createParts();
    assert.ok(!isRefused(two, POISON, crash(two, [POISON], 2)));
    const three = createParts();
    assert.ok(isRefused(three, POISON, crash(three, [POISON], 3)));
  });

  it("is allowed if it was answered in the minute before the crashes", () => {
    const parts = createParts();
    parts.recordServed([RARE], FIRST_AT - 30_000);
    assert.ok(!isRefused(parts, RARE, crash(parts, [RARE])));
  });

  it("is allowed if another entry answered it in that minute", () => {
    const [parts, other] = [createParts(), createParts("entry-2")];
    other.recordServed([RARE], FIRST_AT - 30_000);
    const now = crash(parts, [RARE]);
    other.merge(parts.list(), now);
    parts.merge(other.list(), now);
    assert.ok(!isRefused(parts, RARE, now));
  });

  it("is allowed if most requests have it, or if this entry has seen few", () => {
    const parts = createParts();
    assert.ok(!isRefused(parts, COMMON, crash(parts, [COMMON])));
    const started = new PoisonParts("entry-1");
    assert.ok(!isRefused(started, POISON, crash(started, [POISON])));
  });

  // Guards against crashes that go on while there is little traffic.
  it("is refused by an entry that has seen few requests if others were answered", () => {
    const parts = new PoisonParts("entry-1");
    for (let number = 0; number < 3; number++) {
      parts.recordArrival([COMMON]);
      parts.recordServed([COMMON], FIRST_AT - 1000);
    }
    assert.ok(isRefused(parts, POISON, crash(parts, [COMMON, POISON])));
    assert.ok(!isRefused(parts, COMMON, FIRST_AT + 3 * CRASH_INTERVAL_MS));
  });

  it("is refused although most requests have it if others were answered", () => {
    const parts = createParts();
    for (let number = 0; number < 300; number++) parts.recordArrival([POISON]);
    for (let number = 0; number < 3; number++) {
      parts.recordServed([RARE], FIRST_AT - 1000);
    }
    assert.ok(isRefused(parts, POISON, crash(parts, [POISON])));
  });

  it("is allowed if targets crashed under other requests as well", () => {
    const parts = new PoisonParts("entry-1");
    for (let number = 0; number < 3; number++) {
      parts.recordServed([COMMON], FIRST_AT - 1000);
    }
    for (let number = 10; number < 13; number++) {
      parts.recordCrash([RARE], createCrash(number, FIRST_AT), FIRST_AT);
    }
    assert.ok(!isRefused(parts, POISON, crash(parts, [POISON])));
  });

  it("is allowed if most requests have it and whole racks were lost", () => {
    const parts = createParts();
    for (let number = 0; number < 3; number++) {
      parts.recordServed([RARE], FIRST_AT - 1000);
    }
    let now = FIRST_AT;
    for (let time = 0; time < 3; time++) {
      now = FIRST_AT + time * CRASH_INTERVAL_MS;
      for (const number of [1, 2]) {
        parts.recordCrash([COMMON], createCrash(10 * time + number, now), now);
      }
    }
    assert.ok(!isRefused(parts, COMMON, settle(parts, now)));
  });

  it("is allowed if a rarer part explains its crashes", () => {
    const parts = createParts();
    for (let number = 0; number < 9; number++) parts.recordArrival([RARE]);
    const now = crash(parts, [RARE, POISON]);
    assert.ok(isRefused(parts, POISON, now));
    assert.ok(!isRefused(parts, RARE, now));
  });

  it("is allowed if a whole request explains its crashes", () => {
    const parts = createParts();
    const now = FIRST_AT + 3 * CRASH_INTERVAL_MS;
    const targets = [0, 1, 2].map((number) => `target-${number}`);
    for (const [number] of targets.entries()) {
      const at = FIRST_AT + number * CRASH_INTERVAL_MS;
      parts.recordCrash([RARE], createCrash(number, at), at);
    }
    assert.ok(!isRefused(parts, RARE, settle(parts, now, targets)));
  });

  it("is allowed after many targets were lost at the same time", () => {
    const parts = createParts();
    for (let number = 0; number < 4; number++) {
      parts.recordCrash([RARE], createCrash(number, FIRST_AT), FIRST_AT);
    }
    assert.ok(!isRefused(parts, RARE, settle(parts, FIRST_AT)));
  });

  it("is refused by an entry that has just started, once another one decided so", () => {
    const parts = createParts();
    const started = new PoisonParts("entry-2");
    const now = crash(parts, [POISON]);
    started.merge(parts.list(), now);
    assert.ok(isRefused(started, POISON, now));
  });

  it("is allowed again when a request with it is answered", () => {
    const parts = createParts();
    const now = crash(parts, [POISON]);
    parts.recordServed([POISON], now + 1);
    assert.ok(!isRefused(parts, POISON, now + 2));
  });

  it("is tried by one request of one entry, after a time", () => {
    const entries = ["entry-1", "entry-2", "entry-3"].map(createParts);
    const requestIds = [1, 2, 3];
    const now = crash(entries[0] as PoisonParts, [POISON]);
    for (const entry of entries) {
      entry.merge((entries[0] as PoisonParts).list(), now);
    }
    const countTried = (at: number) =>
      entries.flatMap((entry) =>
        requestIds.filter((id) => !isRefused(entry, POISON, at, id))
      ).length;
    assert.equal(countTried(now + 10_000), 0);
    assert.equal(countTried(now + 30 * 60_000), 1);
  });

  it("has identifiers that differ from those of whole requests", () => {
    assert.ok(isPartId(POISON));
    assert.ok(!isPartId("t77H_GNGQ_hr2w_s"));
  });
});
