import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import { DeadlineMemory } from "./deadline_memory.ts";

/** Milliseconds that callers of one service give at most. */
const LONGEST_MS = 8000;

/** A caller that asks for the first time; they differ by 0.15 of the longest. */
function drawFreshMs(random: RandomSource): number {
  return LONGEST_MS * (0.85 + 0.15 * random.nextBelow(1000) / 1000);
}

describe("callers that come back", () => {
  it("are told from those that ask first, whose deadlines differ", () => {
    const random = new RandomSource(7);
    const deadlines = new DeadlineMemory(LONGEST_MS, 0);
    for (let now = 0; now < 60_000; now += 20) {
      const freshMs = drawFreshMs(random);
      assert.equal(deadlines.observe(freshMs, now), false);
      // Told to come back after a third of its time.
      assert.equal(deadlines.observe(freshMs * 2 / 3, now), true);
    }
  });

  it("are told when settings allow other deadlines than callers give", () => {
    for (const allowedMs of [2000, 30_000]) {
      const random = new RandomSource(7);
      const deadlines = new DeadlineMemory(allowedMs, 0);
      let wrong = 0;
      for (let now = 0; now < 40_000; now += 20) {
        const freshMs = drawFreshMs(random);
        const isWrong = deadlines.observe(freshMs, now) ||
          !deadlines.observe(freshMs * 0.6, now);
        // What settings say is forgotten with the first two windows.
        if (now > 20_000 && isWrong) wrong++;
      }
      assert.equal(wrong, 0, `${allowedMs} ms allowed`);
    }
  });

  it("are told again soon after callers give shorter deadlines", () => {
    const deadlines = new DeadlineMemory(LONGEST_MS, 0);
    let now = 0;
    for (; now < 12_000; now += 100) deadlines.observe(LONGEST_MS, now);
    for (; now < 40_000; now += 100) deadlines.observe(4000, now);
    assert.equal(deadlines.observe(3900, now), false);
    assert.equal(deadlines.observe(2600, now), true);
  });
});
