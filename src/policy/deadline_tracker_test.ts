import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import { DeadlineTracker } from "./deadline_tracker.ts";

/** Longest deadline that callers of the service use, in milliseconds. */
const MAX_DEADLINE_MS = 8000;

/** Returns the deadline of a first attempt, 0.85 to 1 of the longest. */
function createFirstDeadlineMs(random: RandomSource): number {
  return MAX_DEADLINE_MS * (0.85 + 0.15 * random.nextBelow(1000) / 1000);
}

describe("retried requests", () => {
  it("are distinguished from first attempts with varying deadlines", () => {
    const random = new RandomSource(7);
    const deadlines = new DeadlineTracker(MAX_DEADLINE_MS, 0);
    for (let now = 0; now < 60_000; now += 20) {
      const firstMs = createFirstDeadlineMs(random);
      assert.equal(deadlines.observe(firstMs, now), false);
      // The caller retried after a third of its time.
      assert.equal(deadlines.observe(firstMs * 2 / 3, now), true);
    }
  });

  it("are recognised when the allowed deadline differs from the used ones", () => {
    for (const allowedMs of [2000, 30_000]) {
      const random = new RandomSource(7);
      const deadlines = new DeadlineTracker(allowedMs, 0);
      let misclassified = 0;
      for (let now = 0; now < 40_000; now += 20) {
        const firstMs = createFirstDeadlineMs(random);
        const isMisclassified = deadlines.observe(firstMs, now) ||
          !deadlines.observe(firstMs * 0.6, now);
        // The allowed deadline has no effect after the first two windows.
        if (now > 20_000 && isMisclassified) misclassified++;
      }
      assert.equal(misclassified, 0, `${allowedMs} ms allowed`);
    }
  });

  it("are recognised again soon after callers switch to shorter deadlines", () => {
    const deadlines = new DeadlineTracker(MAX_DEADLINE_MS, 0);
    let now = 0;
    for (; now < 12_000; now += 100) deadlines.observe(MAX_DEADLINE_MS, now);
    for (; now < 40_000; now += 100) deadlines.observe(4000, now);
    assert.equal(deadlines.observe(3900, now), false);
    assert.equal(deadlines.observe(2600, now), true);
  });
});
