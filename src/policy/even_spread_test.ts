import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EvenSpread } from "./even_spread.ts";

describe("an even spread", () => {
  // Guards against callers that are refused together and return together.
  it("has each tenth of the interval in any twenty fractions in a row", () => {
    const spread = new EvenSpread();
    const fractions = Array.from({ length: 200 }, () => spread.next());
    for (let first = 0; first + 20 <= fractions.length; first++) {
      const tenths = fractions.slice(first, first + 20)
        .map((fraction) => Math.floor(10 * fraction));
      assert.equal(new Set(tenths).size, 10);
    }
  });
});
