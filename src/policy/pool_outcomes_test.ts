import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolOutcomes } from "./pool_outcomes.ts";

const POOL = "pool";
const PART = "part";
const NONE = { answered: 0, crashed: 0 };

function createCrash(target: string, endedAt: number) {
  return { target, aliveAt: endedAt - 200, endedAt };
}

describe("the outcomes of a pool", () => {
  it("are counted since a time, without those of other pools", () => {
    const outcomes = new PoolOutcomes();
    for (const now of [10, 20, 30]) outcomes.recordAnswered(POOL, now);
    outcomes.recordAnswered("other", 30);
    const counts = outcomes.countWithout(PART, POOL, 20);
    assert.deepEqual(counts, { answered: 2, crashed: 0 });
    assert.deepEqual(outcomes.countWithout(PART, "unknown", 0), NONE);
  });

  // Guards against crashes under a part that count as crashes for other reasons.
  it("contain a target once, and not if a request with the part ran there", () => {
    const outcomes = new PoolOutcomes();
    outcomes.recordCrashed(POOL, createCrash("one", 10), ["common"]);
    outcomes.recordCrashed(POOL, createCrash("one", 11), ["common"]);
    outcomes.recordCrashed(POOL, createCrash("two", 12), ["common"]);
    outcomes.recordCrashed(POOL, createCrash("two", 13), [PART]);
    const counts = outcomes.countWithout(PART, POOL, 0);
    assert.deepEqual(counts, { answered: 0, crashed: 1 });
    assert.deepEqual(outcomes.countWithout("common", POOL, 0), NONE);
  });

  it("are bounded, and the latest are kept", () => {
    const outcomes = new PoolOutcomes();
    for (let now = 0; now < 1000; now++) {
      outcomes.recordAnswered(POOL, now);
      outcomes.recordCrashed(POOL, createCrash(`target-${now}`, now), []);
    }
    const all = outcomes.countWithout(PART, POOL, 0);
    assert.ok(all.answered < 100 && all.crashed < 100, JSON.stringify(all));
    const latest = outcomes.countWithout(PART, POOL, 990);
    assert.deepEqual(latest, { answered: 10, crashed: 10 });
  });
});
