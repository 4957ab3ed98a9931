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
  it("is decided once the holder is armed for it", () => {
    const holder = createHolder({ armed: { version: 5, pass: PASS } });
    assert.deepEqual(readHeldPass(holder), {
      kind: "decided",
      version: 5,
      pass: PASS,
    });
  });

  it("is undecided while the holder is not armed, and awaited or not", () => {
    const awaited = readHeldPass(createHolder({}));
    assert.deepEqual(awaited, {
      kind: "undecided",
      pass: PASS,
      isAwaited: true,
    });
    const ahead = readHeldPass(createHolder({ pass: PASS - 2 }));
    assert.ok(ahead.kind === "undecided" && !ahead.isAwaited);
  });

  it("is held in vain when the holder is armed for a later one", () => {
    const armed = { version: 5, pass: PASS + 2 };
    assert.equal(readHeldPass(createHolder({ armed })).kind, "in_vain");
  });

  it("waits for the switch of an earlier pass", () => {
    const armed = { version: 5, pass: PASS - 2 };
    const held = readHeldPass(createHolder({ armed, pass: PASS - 4 }));
    assert.ok(held.kind === "undecided" && !held.isAwaited);
  });

  it("is none when the holder holds none", () => {
    const held = readHeldPass(createHolder({ heldPass: undefined }));
    assert.equal(held.kind, "nothing_held");
  });
});
