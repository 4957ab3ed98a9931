import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getBlindLimit } from "./blind_limit.ts";

describe("requests to a pool of unknown load", () => {
  it("leave places free although every entry sends what it may", () => {
    for (const [places, entries] of [[80, 35], [768, 99], [96, 9]] as const) {
      const sent = entries * getBlindLimit({ places, entries });
      assert.ok(sent <= places, `${sent} of ${places}`);
      assert.ok(sent >= places / 2, `${sent} of ${places}`);
    }
  });

  it("are one at least, and as many as come while nobody is known", () => {
    assert.equal(getBlindLimit({ places: 8, entries: 200 }), 1);
    assert.equal(getBlindLimit({ places: 8, entries: undefined }), Infinity);
  });
});
