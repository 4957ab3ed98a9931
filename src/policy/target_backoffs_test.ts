/**
 * Guards against sending to a target within a backoff that it requested: an overloaded
 * target requests backoffs repeatedly, in answers that arrive late or name different
 * times.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MAX_BACKOFF_MS, TargetBackoffs } from "./target_backoffs.ts";

const TARGET = "i-1";

/** Records backoffs, each given as the time of its arrival and its duration. */
function createBackoffs(
  ...requests: readonly (readonly [now: number, askedMs: number])[]
): TargetBackoffs {
  const backoffs = new TargetBackoffs();
  for (const [now, askedMs] of requests) {
    backoffs.record({ target: TARGET, askedMs, now });
  }
  return backoffs;
}

describe("the backoff that a target requests", () => {
  it("lasts as long as requested, and applies to that target only", () => {
    const backoffs = createBackoffs([100, 3000]);
    assert.equal(backoffs.getRemainingMs(TARGET, 3099), 1);
    assert.equal(backoffs.getRemainingMs(TARGET, 3100), 0);
    assert.equal(backoffs.getRemainingMs("i-2", 100), 0);
  });

  it("is extended and never shortened by a later request", () => {
    const shorter = createBackoffs([0, 3000], [1000, 500]);
    assert.equal(shorter.getRemainingMs(TARGET, 1000), 2000);
    const longer = createBackoffs([0, 3000], [1000, 3000]);
    assert.equal(longer.getRemainingMs(TARGET, 1000), 3000);
  });

  it("does not begin for a duration of 0", () => {
    const backoffs = createBackoffs([0, 0]);
    assert.equal(backoffs.getRemainingMs(TARGET, 0), 0);
    assert.equal(backoffs.count, 0);
  });

  it("is bounded whatever duration is requested", () => {
    const backoffs = createBackoffs([0, 999_999_999_000]);
    assert.equal(backoffs.getRemainingMs(TARGET, 0), MAX_BACKOFF_MS);
  });

  it("is returned once when it ends, and then lets the load return gradually", () => {
    const backoffs = createBackoffs([0, 2000]);
    assert.equal(backoffs.getShare(TARGET, 1999), 0);
    assert.deepEqual(backoffs.takeEnded(1999), []);
    assert.equal(backoffs.takeEnded(2000).length, 1);
    assert.deepEqual(backoffs.takeEnded(2100), []);
    assert.equal(backoffs.getShare(TARGET, 3000), 0.5);
    assert.equal(backoffs.getShare(TARGET, 4000), 1);
    backoffs.takeEnded(4000);
    assert.equal(backoffs.getShare(TARGET, 4000), 1);
  });

  it("counts once while it is extended", () => {
    const backoffs = createBackoffs([0, 1000], [500, 1000], [1400, 1000]);
    assert.equal(backoffs.count, 1);
    assert.equal(backoffs.size, 1);
    backoffs.takeEnded(2400);
    assert.equal(backoffs.size, 0);
  });
});
