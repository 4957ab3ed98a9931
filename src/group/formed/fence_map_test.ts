import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { createFenceMap } from "./fence_map.ts";

describe("fence map", () => {
  it("keeps the rank's own experts and places each of the others once", () => {
    const map = createFenceMap({
      rank: 1,
      ranks: 3,
      own: [[0, 3], [5, 1]],
      experts: 6,
    });
    assert.deepEqual(map.layers.map(({ experts }) => experts), [
      [[1, 4], [0, 3], [2, 5]],
      [[0, 3], [5, 1], [2, 4]],
    ]);
  });

  it("needs no more slots per rank than any map of the group", () => {
    const sizes = fc.tuple(
      fc.integer({ min: 2, max: 24 }),
      fc.integer({ min: 1, max: 6 }),
    );
    fc.assert(
      fc.property(sizes, fc.nat(), ([ranks, slots], number) => {
        const experts = 1 + number % (ranks * slots);
        const own = [Array.from(
          { length: Math.min(slots, experts) },
          (_, expert) => expert,
        )];
        const map = createFenceMap({ rank: 1, ranks, own, experts });
        const rows = map.layers[0]?.experts ?? [];
        assert.equal(new Set(rows.flat()).size, experts);
        assert.ok(rows.every((row) => row.length <= slots));
      }),
      { seed: 1 },
    );
  });
});
