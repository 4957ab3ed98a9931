/**
 * Guards against entries that disagree about the limit of an overloaded target: it
 * announces a limit to whichever entry receives its answer, changes it, ends it, and its
 * answers arrive out of order.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { type LimitNotice, TargetLimits } from "./target_limits.ts";

function createNotice(changes: Partial<LimitNotice>): LimitNotice {
  return { target: "i-1", perSecond: 2, sentAt: 0, now: 0, ...changes };
}

function createLimits(...answers: readonly Partial<LimitNotice>[]) {
  const limits = new TargetLimits();
  limits.setListed(new Set(["i-1", "i-2"]), 0);
  for (const answer of answers) limits.record(createNotice(answer));
  return limits;
}

/** Replicates limits from one entry to another. */
function replicate(from: TargetLimits, to: TargetLimits, now = 0) {
  return to.merge(from.list(), now);
}

describe("the limit that a target announces", () => {
  it("applies until the answer to a later request announces none", () => {
    const limits = createLimits({ perSecond: 0.5, now: 100 });
    limits.record(
      createNotice({ perSecond: undefined, sentAt: 90, now: 2000 }),
    );
    assert.equal(limits.tryGet("i-1"), 0.5);
    limits.record(
      createNotice({ perSecond: undefined, sentAt: 110, now: 2100 }),
    );
    assert.equal(limits.tryGet("i-1"), undefined);
    assert.ok(limits.isEmpty);
  });

  it("is lowered immediately, and raised at most once a second", () => {
    const limits = createLimits({ perSecond: 5 }, { perSecond: 2, now: 10 });
    assert.equal(limits.tryGet("i-1"), 2);
    limits.record(createNotice({ perSecond: 8, now: 20 }));
    assert.equal(limits.tryGet("i-1"), 2);
    limits.record(createNotice({ perSecond: 8, now: 1010 }));
    assert.equal(limits.tryGet("i-1"), 8);
  });

  it("ignores changes of insignificant digits, and is never rounded up", () => {
    const limits = createLimits({ perSecond: 3.49 });
    assert.equal(limits.tryGet("i-1"), 3.4);
    const changed = limits.record(createNotice({ perSecond: 3.41, now: 5000 }));
    assert.equal(changed, undefined);
    assert.equal(createLimits({ perSecond: 0.999 }).tryGet("i-1"), 0.99);
    assert.equal(createLimits({ perSecond: 0.2 }).tryGet("i-1"), 0.2);
  });

  it("may be 0, which is different from no limit", () => {
    const limits = createLimits({ perSecond: 0 });
    assert.equal(limits.tryGet("i-1"), 0);
    assert.ok(!limits.isEmpty);
  });
});

describe("limits that entries replicate", () => {
  it("apply at entries that received no answer with a limit", () => {
    const other = createLimits();
    const changed = replicate(createLimits({}), other);
    assert.equal(changed.length, 1);
    assert.equal(other.tryGet("i-1"), 2);
    assert.equal(replicate(createLimits({}), other).length, 0);
  });

  it("end when another entry reports their end, and outdated updates do not restore them", () => {
    const before = createLimits({});
    const after = createLimits({});
    after.record(createNotice({ perSecond: undefined, sentAt: 1, now: 50 }));
    assert.equal(replicate(after, before).length, 1);
    assert.equal(before.tryGet("i-1"), undefined);
    assert.equal(replicate(createLimits({}), before).length, 0);
  });

  it("are not ended by an answer to an earlier request", () => {
    const other = createLimits();
    replicate(createLimits({ now: 1000 }), other, 1010);
    other.record(
      createNotice({ perSecond: undefined, sentAt: 900, now: 1500 }),
    );
    assert.equal(other.tryGet("i-1"), 2);
  });

  it("converge at all entries, in whichever order they are replicated", () => {
    const change = fc.record({
      entry: fc.integer({ min: 0, max: 2 }),
      target: fc.constantFrom("i-1", "i-2"),
      perSecond: fc.option(fc.double({ min: 0, max: 60, noNaN: true }), {
        nil: undefined,
      }),
      receiver: fc.integer({ min: 0, max: 2 }),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
        const entries = [createLimits(), createLimits(), createLimits()];
        let now = 0;
        for (const { entry, target, perSecond, receiver } of changes) {
          now += 300;
          const from = entries[entry] as TargetLimits;
          from.record({ target, perSecond, sentAt: now - 1, now });
          replicate(from, entries[receiver] as TargetLimits, now);
        }
        for (let round = 0; round < 2; round++) {
          for (const from of entries) {
            for (const to of entries) replicate(from, to, now);
          }
        }
        const contents = new Set(entries.map(({ content }) => content));
        assert.equal(contents.size, 1);
      }),
      { seed: 39 },
    );
  });

  it("are forgotten at all entries a minute after the target has left the list", () => {
    const limits = createLimits({});
    limits.setListed(new Set(), 59_000);
    assert.equal(limits.tryGet("i-1"), 2);
    const listed = limits.list();
    limits.setListed(new Set(), 60_000);
    assert.ok(limits.isEmpty);
    // An entry that still knows the limit does not restore it.
    assert.equal(limits.merge(listed, 60_000).length, 0);
  });

  it("stay in force if no further answer announces them here", () => {
    const limits = createLimits({});
    limits.setListed(new Set(["i-1"]), 600_000);
    assert.equal(limits.tryGet("i-1"), 2);
  });
});
