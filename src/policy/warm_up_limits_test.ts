/**
 * Guards against targets wrongly treated as cold or warm when lists report coldness, do
 * not report it, or stop.
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

/** Lists a target among others; returns its limit. */
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
  // Guards against a target that is always or never cold if no list reports coldness.
  it("is cold for the configured time after it first appears, if no list reports coldness", () => {
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

  // Guards against treating an incarnation as new that was only missing from some lists.
  it("is not new again after a gap in the lists, if it reports its start time", () => {
    for (const startedAt of [undefined, 5]) {
      const limits = createLimits();
      list(limits, 0, { startedAt, isCold: false });
      limits.setListed([createInstance("i-0")], 1000);
      const again = list(limits, 2000, { startedAt });
      assert.equal(again, startedAt === undefined ? 17 : undefined);
    }
  });

  // Guards against coldness that ends with one missing report, or that never ends.
  it("stays cold for a limited time while lists do not report coldness", () => {
    const limits = createLimits();
    list(limits, 0, { isCold: true });
    assert.equal(list(limits, 4000), 17);
    assert.equal(list(limits, 5000), undefined);
    assert.equal(list(limits, 6000, { isCold: true }), 17);
    assert.equal(list(limits, 6100, { isCold: false }), undefined);
  });

  // Guards against an invalid setting that starts or ends limits.
  it("keeps its limit while a setting is invalid, and loses it when the setting is removed", () => {
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
    // Targets listed before the pool had settings for cold targets are not new.
    limits.setPools(LIMITED, 300);
    assert.equal(list(limits, 400), undefined);
  });

  // Guards against one source of limits hiding the other.
  it("has the lower of its warm-up limit and the announced one", () => {
    const limits = createLimits();
    const named = new TargetLimits();
    const combined = new CombinedLimits(named, limits);
    assert.ok(combined.isEmpty);
    list(limits, 0, { isCold: true });
    assert.equal(combined.tryGet("i-1")?.perSecond, 17);
    named.record({ target: "i-1", perSecond: 2, sentAt: 0, now: 0 });
    assert.deepEqual(combined.tryGet("i-1"), { perSecond: 2, isWarmUp: true });
    limits.setPools(new Map(), 0);
    assert.deepEqual(combined.tryGet("i-1"), { perSecond: 2, isWarmUp: false });
  });
});
