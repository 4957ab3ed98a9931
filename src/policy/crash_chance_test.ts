import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeChance, isSolitary, separateInTime } from "./crash_chance.ts";

function createCrash(number: number, endedAt: number) {
  return { target: `target-${number}`, aliveAt: endedAt - 100, endedAt };
}

describe("the probability of losses for other reasons", () => {
  it("is 1 if no other request was answered", () => {
    assert.equal(computeChance({ answered: 0, crashed: 0 }, 9), 1);
  });

  it("falls with answers and times, and rises with other crashes", () => {
    const base = computeChance({ answered: 2, crashed: 0 }, 3);
    assert.ok(computeChance({ answered: 3, crashed: 0 }, 3) < base);
    assert.ok(computeChance({ answered: 2, crashed: 0 }, 4) < base);
    assert.ok(computeChance({ answered: 2, crashed: 1 }, 3) > base);
  });

  // Guards against many quick answers that outweigh a few losses.
  it("does not fall below that of a few answers", () => {
    assert.equal(
      computeChance({ answered: 1000, crashed: 0 }, 2),
      computeChance({ answered: 3, crashed: 0 }, 2),
    );
  });
});

describe("crashes", () => {
  const crashes = [0, 100, 1000, 2000].map((at, number) =>
    createCrash(number, at)
  );

  it("that follow another one at once are one time", () => {
    const separate = separateInTime(crashes).map(({ endedAt }) => endedAt);
    assert.deepEqual(separate, [0, 1000, 2000]);
  });

  it("of one target at a time are solitary", () => {
    const solitary = crashes.filter((crash) => isSolitary(crash, crashes));
    assert.deepEqual(solitary.map(({ endedAt }) => endedAt), [1000, 2000]);
  });
});
