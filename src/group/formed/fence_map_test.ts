import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { createFenceMap } from "./fence_map.ts";

describe("a map for a fence", () => {
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

  it("fits wherever some map of the group does", () => {
    const sizes = fc.tuple(
      fc.integer({ min: 2, max: 24 }),
      fc.integer({ min: 1, max: 6 }),
    );
    fc.assert(
      fc.property(sizes, fc.nat(), ([ranks, places], number) => {
        const experts = 1 + number % (ranks * places);
        const own = [Array.from(
          { length: Math.min(places, experts) },
          (_, expert) => expert,
        )];
        const map = createFenceMap({ rank: 1, ranks, own, experts });
        const rows = map.layers[0]?.experts ?? [];
        assert.equal(new Set(rows.flat()).size, experts);
        assert.ok(rows.every((row) => row.length <= places));
      }),
      { seed: 1 },
    );
  });
});
