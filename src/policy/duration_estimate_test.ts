import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import { DurationEstimate } from "./duration_estimate.ts";

describe("an estimate of a duration", () => {
  it("is zero without samples", () => {
    const estimate = new DurationEstimate();
    assert.equal(estimate.meanMs, 0);
    assert.equal(estimate.upperMs, 0);
  });

  it("has an upper value that few samples exceed", () => {
    const random = new RandomSource(1);
    const estimate = new DurationEstimate();
    let exceeded = 0;
    for (let count = 0; count < 2000; count++) {
      const sample = random.nextExponential(50);
      if (count >= 100 && sample > estimate.upperMs) exceeded++;
      estimate.record(sample);
    }
    assert.ok(exceeded < 0.05 * 1900, `${exceeded} of 1900`);
    assert.ok(estimate.upperMs < 500, `${estimate.upperMs} ms`);
  });
});
