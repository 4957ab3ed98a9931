/**
 * Which targets count as cold, by lists that say so, say nothing, or stop.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { createInstance } from "../testing/fixtures.ts";
import { CombinedLimits } from "./send_limits.ts";
import { TargetLimits } from "./target_limits.ts";
import { type ColdPools, WarmUpLimits } from "./warm_up_limits.ts";

const LIMITED: ColdPools = new Map([
  ["confirm", { kind: "limited", perSecond: 17, startMs: 3000 }],
]);

function createLimits(pools = LIMITED): WarmUpLimits {
  const limits = new WarmUpLimits();
  limits.setPools(pools, 0);
  limits.setListed([createInstance("i-0")], 0);
  return limits;
}

/** Lists a target among others; returns what it takes then. */
function list(
  limits: WarmUpLimits,
  now: number,
  changes: Partial<BackEndInstance> = {},
): number | undefined {
  limits.setListed(
    [createInstance("i-0"), createInstance("i-1", changes)],
    now,
  );
  return limits.tryGet("i-1");
}

describe("a target that warms up", () => {
  // Guards against a target that is cold for good, or never, where no list says anything.
  it("is cold for its time from when it was first seen, if no list says more", () => {
    const limits = createLimits();
    assert.equal(limits.tryGet("i-0"), undefined);
    assert.equal(list(limits, 1000), 17);
    assert.equal(list(limits, 3999), 17);
    const changes = limits.advance(4000);
    assert.deepEqual(changes.map(({ target, isCold }) => [target, isCold]), [
      ["i-1", false],
    ]);
    assert.ok(limits.isEmpty);
  });

  // Guards against an incarnation that only was missing from some lists being taken for new.
  it("is not new again after lists without it, if it says when it started", () => {
    for (const startedAt of [undefined, 5]) {
      const limits = createLimits();
      list(limits, 0, { startedAt, isCold: false });
      limits.setListed([createInstance("i-0")], 1000);
      const again = list(limits, 2000, { startedAt });
      assert.equal(again, startedAt === undefined ? 17 : undefined);
    }
  });

  // Guards against a word that goes missing ending what was said, and against its lasting on.
  it("stays as a list said while lists say nothing, for a while", () => {
    const limits = createLimits();
    list(limits, 0, { isCold: true });
    assert.equal(list(limits, 4000), 17);
    assert.equal(list(limits, 5000), undefined);
    assert.equal(list(limits, 6000, { isCold: true }), 17);
    assert.equal(list(limits, 6100, { isCold: false }), undefined);
  });

  // Guards against a setting that cannot be read starting or ending limits.
  it("keeps its limit while a setting cannot be read, and loses it with the setting", () => {
    const unreadable: ColdPools = new Map([
      ["confirm", { kind: "unreadable", text: "-1" }],
    ]);
    assert.equal(
      list(createLimits(unreadable), 0, { isCold: true }),
      undefined,
    );
    const limits = createLimits();
    list(limits, 0, { isCold: true });
    limits.setPools(unreadable, 100);
    assert.equal(limits.tryGet("i-1"), 17);
    limits.setPools(new Map(), 200);
    assert.equal(limits.tryGet("i-1"), undefined);
    list(limits, 250);
    // Targets that were there before a pool could be cold are not new.
    limits.setPools(LIMITED, 300);
    assert.equal(list(limits, 400), undefined);
  });

  // Guards against one source of limits hiding the other.
  it("has the lower of its limit and one that it names", () => {
    const limits = createLimits();
    const named = new TargetLimits();
    const combined = new CombinedLimits(named, limits);
    assert.ok(combined.isEmpty);
    list(limits, 0, { isCold: true });
    assert.equal(combined.tryGet("i-1")?.perSecond, 17);
    named.note({ target: "i-1", perSecond: 2, sentAt: 0, now: 0 });
    assert.deepEqual(combined.tryGet("i-1"), { perSecond: 2, isWarmUp: true });
    limits.setPools(new Map(), 0);
    assert.deepEqual(combined.tryGet("i-1"), { perSecond: 2, isWarmUp: false });
  });
});
