import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRankState } from "../../testing/rank_state.ts";
import { HeldPassWatch } from "./held_pass_watch.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

const PASS = 9;

function createHolder(changes: Partial<RankState> = {}): RankState {
  return createRankState({
    rank: 1,
    pass: PASS - 1,
    heldPass: PASS,
    ...changes,
  });
}

describe("watch of a held pass", () => {
  it("returns how long the group has waited once that is too long", () => {
    const watch = new HeldPassWatch();
    assert.equal(watch.observe(createHolder(), 1000), undefined);
    assert.equal(watch.observe(createHolder(), 1100), undefined);
    assert.equal(watch.observe(createHolder(), 1300), 300);
  });

  it("measures from when the group reached the pass", () => {
    const watch = new HeldPassWatch();
    watch.observe(createHolder({ pass: PASS - 3 }), 1000);
    watch.observe(createHolder({ pass: PASS - 3 }), 2000);
    assert.equal(watch.observe(createHolder(), 2100), undefined);
    assert.equal(watch.observe(createHolder(), 2300), 300);
  });

  it("restarts with another held pass and without one", () => {
    const watch = new HeldPassWatch();
    watch.observe(createHolder(), 1000);
    const next = createHolder({ pass: PASS, heldPass: PASS + 1 });
    assert.equal(watch.observe(next, 1300), undefined);
    assert.equal(
      watch.observe(createHolder({ heldPass: undefined }), 1700),
      undefined,
    );
    assert.equal(watch.observe(next, 1800), undefined);
  });
});
