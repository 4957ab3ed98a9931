import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LinkPacer } from "./link_pacer.ts";

describe("link pacer", () => {
  it("uses its fraction of the link and does not exceed it", () => {
    const pacer = new LinkPacer({ bytesPerSecond: 500_000, fraction: 0.2 });
    let sent = 0;
    for (let now = 0; now < 10_000; now++) {
      if (pacer.tryTake(5000, now)) sent += 5000;
    }
    assert.ok(sent <= 1_005_000 && sent >= 950_000, `${sent} bytes`);
  });
});
