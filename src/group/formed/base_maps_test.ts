import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BaseMapPacer } from "./base_maps.ts";

/** 4.2 Mbit/s, as machines beside engines of the largest groups have. */
const LINK_BYTES_PER_SECOND = 525_000;

describe("maps told ahead of orders", () => {
  it("reach 64 ranks within some seconds, on a fifth of the link", () => {
    const row = [0, 1, 2, 3].map((place) => 64 * place);
    const experts = Array.from({ length: 64 }, () => row);
    const layers = Array.from({ length: 12 }, () => ({ experts }));
    const baseMaps = new BaseMapPacer(LINK_BYTES_PER_SECOND);
    let told = 0;
    let now = 0;
    for (; told < 64; now += 25) {
      if (baseMaps.tryTake({ layers }, now)) told++;
    }
    assert.ok(now >= 2000 && now <= 5000, `${now} ms`);
  });
});
