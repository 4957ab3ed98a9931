import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BaseMapPacer } from "./base_map_pacer.ts";

/** 4.2 Mbit/s, the link capacity of the VMs in the largest groups. */
const LINK_BYTES_PER_SECOND = 525_000;

describe("pacing of maps that are sent ahead of orders", () => {
  it("reaches 64 ranks within seconds on a fifth of the link", () => {
    const row = [0, 1, 2, 3].map((slot) => 64 * slot);
    const experts = Array.from({ length: 64 }, () => row);
    const layers = Array.from({ length: 12 }, () => ({ experts }));
    const pacer = new BaseMapPacer(LINK_BYTES_PER_SECOND);
    let sent = 0;
    let now = 0;
    for (; sent < 64; now += 25) {
      if (pacer.tryTake({ layers }, now)) sent++;
    }
    assert.ok(now >= 2000 && now <= 5000, `${now} ms`);
  });
});
