import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import { getUnknownLoadLimit } from "./unknown_load_limit.ts";

describe("requests to a pool of unknown load", () => {
  /** Counts the requests sent when the callers of a burst choose entries at random. */
  function countSent(
    concurrency: number,
    entries: number,
    burst: number,
  ): number {
    const random = new RandomSource(5);
    const held = new Array<number>(entries).fill(0);
    for (let caller = 0; caller < burst; caller++) {
      const entry = random.nextBelow(entries);
      held[entry] = (held[entry] as number) + 1;
    }
    const limit = getUnknownLoadLimit({ concurrency, entries });
    return held.reduce((sum, count) => sum + Math.min(count, limit), 0);
  }

  it("fill most of the pool in a burst of one and a half times its concurrency", () => {
    for (
      const [concurrency, entries] of [[80, 35], [768, 99], [96, 9]] as const
    ) {
      const sent = countSent(concurrency, entries, 1.5 * concurrency);
      assert.ok(sent >= 0.7 * concurrency, `${sent} of ${concurrency}`);
      assert.ok(sent <= 1.25 * concurrency, `${sent} of ${concurrency}`);
    }
  });

  it("are at least one, and unlimited while the number of entries is unknown", () => {
    assert.equal(getUnknownLoadLimit({ concurrency: 8, entries: 200 }), 1);
    assert.equal(
      getUnknownLoadLimit({ concurrency: 8, entries: undefined }),
      Infinity,
    );
  });
});
