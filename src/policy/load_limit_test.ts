import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LoadLimit } from "./load_limit.ts";

describe("requests that a rank group may be sent for each place", () => {
  it("fall while passes are too long, to more than half of the places", () => {
    const limit = new LoadLimit();
    for (let word = 0; word < 20; word++) limit.note(150, 120);
    assert.equal(limit.perPlace, 0.6);
  });

  it("rise again while passes are short", () => {
    const limit = new LoadLimit();
    for (let word = 0; word < 20; word++) limit.note(150, 120);
    for (let word = 0; word < 20; word++) limit.note(60, 120);
    assert.equal(limit.perPlace, 1.25);
  });
});
