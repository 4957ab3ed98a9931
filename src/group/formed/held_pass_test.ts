import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRankState } from "../../testing/rank_state.ts";
import { readHeldPass } from "./held_pass.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

const PASS = 9;

function createHolder(changes: Partial<RankState>): RankState {
  return createRankState({
    rank: 1,
    pass: PASS - 1,
    preparedVersion: 5,
    heldPass: PASS,
    ...changes,
  });
}

describe("a held pass", () => {
  it("is decided when the holder is armed for it", () => {
    const holder = createHolder({ armed: { version: 5, pass: PASS } });
    assert.deepEqual(readHeldPass(holder), {
      kind: "decided",
      version: 5,
      pass: PASS,
    });
  });

  it("is undecided while the holder is not armed, whether awaited or not", () => {
    const awaited = readHeldPass(createHolder({}));
    assert.deepEqual(awaited, {
      kind: "undecided",
      pass: PASS,
      isAwaited: true,
    });
    const notAwaited = readHeldPass(createHolder({ pass: PASS - 2 }));
    assert.ok(notAwaited.kind === "undecided" && !notAwaited.isAwaited);
  });

  it("is stale when the holder is armed for a later pass", () => {
    const armed = { version: 5, pass: PASS + 2 };
    assert.equal(readHeldPass(createHolder({ armed })).kind, "in_vain");
  });

  it("is not awaited while the switch of an earlier pass is in progress", () => {
    const armed = { version: 5, pass: PASS - 2 };
    const held = readHeldPass(createHolder({ armed, pass: PASS - 4 }));
    assert.ok(held.kind === "undecided" && !held.isAwaited);
  });

  it("does not exist when the holder holds no pass", () => {
    const held = readHeldPass(createHolder({ heldPass: undefined }));
    assert.equal(held.kind, "nothing_held");
  });
});
