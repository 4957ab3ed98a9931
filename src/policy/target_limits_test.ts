/**
 * The pattern that these tests tell of: a server in need names a limit to whichever entry got
 * its answer, changes it, ends it, and its answers overtake each other.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { type LimitAnswer, TargetLimits } from "./target_limits.ts";

function answer(changes: Partial<LimitAnswer>): LimitAnswer {
  return { target: "i-1", perSecond: 2, sentAt: 0, now: 0, ...changes };
}

function createLimits(...answers: readonly Partial<LimitAnswer>[]) {
  const limits = new TargetLimits();
  limits.setListed(new Set(["i-1", "i-2"]), 0);
  for (const one of answers) limits.note(answer(one));
  return limits;
}

/** Tells one memory to another, as entries do. */
function tell(from: TargetLimits, to: TargetLimits, now = 0) {
  return to.merge(from.list(), now);
}

describe("the limit that a target names", () => {
  it("holds until an answer to a later request names none", () => {
    const limits = createLimits({ perSecond: 0.5, now: 100 });
    limits.note(answer({ perSecond: undefined, sentAt: 90, now: 2000 }));
    assert.equal(limits.tryGet("i-1"), 0.5);
    limits.note(answer({ perSecond: undefined, sentAt: 110, now: 2100 }));
    assert.equal(limits.tryGet("i-1"), undefined);
    assert.ok(limits.isEmpty);
  });

  it("is lowered at once, and raised once a second", () => {
    const limits = createLimits({ perSecond: 5 }, { perSecond: 2, now: 10 });
    assert.equal(limits.tryGet("i-1"), 2);
    limits.note(answer({ perSecond: 8, now: 20 }));
    assert.equal(limits.tryGet("i-1"), 2);
    limits.note(answer({ perSecond: 8, now: 1010 }));
    assert.equal(limits.tryGet("i-1"), 8);
  });

  it("is no news where its last digits change, and never rounded up", () => {
    const limits = createLimits({ perSecond: 3.49 });
    assert.equal(limits.tryGet("i-1"), 3.4);
    const changed = limits.note(answer({ perSecond: 3.41, now: 5000 }));
    assert.equal(changed, undefined);
    assert.equal(createLimits({ perSecond: 0.999 }).tryGet("i-1"), 0.99);
    assert.equal(createLimits({ perSecond: 0.2 }).tryGet("i-1"), 0.2);
  });

  it("may be none at all, which is a limit", () => {
    const limits = createLimits({ perSecond: 0 });
    assert.equal(limits.tryGet("i-1"), 0);
    assert.ok(!limits.isEmpty);
  });
});

describe("limits that entries tell each other", () => {
  it("hold where no answer named them", () => {
    const other = createLimits();
    const news = tell(createLimits({}), other);
    assert.equal(news.length, 1);
    assert.equal(other.tryGet("i-1"), 2);
    assert.equal(tell(createLimits({}), other).length, 0);
  });

  it("end where they are told to have ended, whatever is told of before", () => {
    const before = createLimits({});
    const after = createLimits({});
    after.note(answer({ perSecond: undefined, sentAt: 1, now: 50 }));
    assert.equal(tell(after, before).length, 1);
    assert.equal(before.tryGet("i-1"), undefined);
    assert.equal(tell(createLimits({}), before).length, 0);
  });

  it("are not lifted by an answer to a request that was sent before", () => {
    const other = createLimits();
    tell(createLimits({ now: 1000 }), other, 1010);
    other.note(answer({ perSecond: undefined, sentAt: 900, now: 1500 }));
    assert.equal(other.tryGet("i-1"), 2);
  });

  it("come to the same at all entries, in whichever order they are told", () => {
    const change = fc.record({
      entry: fc.integer({ min: 0, max: 2 }),
      target: fc.constantFrom("i-1", "i-2"),
      perSecond: fc.option(fc.double({ min: 0, max: 60, noNaN: true }), {
        nil: undefined,
      }),
      tells: fc.integer({ min: 0, max: 2 }),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
        const entries = [createLimits(), createLimits(), createLimits()];
        let now = 0;
        for (const { entry, target, perSecond, tells } of changes) {
          now += 300;
          const from = entries[entry] as TargetLimits;
          from.note({ target, perSecond, sentAt: now - 1, now });
          tell(from, entries[tells] as TargetLimits, now);
        }
        for (let round = 0; round < 2; round++) {
          for (const from of entries) {
            for (const to of entries) tell(from, to, now);
          }
        }
        const contents = new Set(entries.map(({ content }) => content));
        assert.equal(contents.size, 1);
      }),
      { seed: 39 },
    );
  });

  it("are forgotten a minute after a target has left the list, everywhere", () => {
    const limits = createLimits({});
    limits.setListed(new Set(), 59_000);
    assert.equal(limits.tryGet("i-1"), 2);
    const told = limits.list();
    limits.setListed(new Set(), 60_000);
    assert.ok(limits.isEmpty);
    // One that still remembers it does not bring it back.
    assert.equal(limits.merge(told, 60_000).length, 0);
  });

  it("stay in force, however long no answer names them here", () => {
    const limits = createLimits({});
    limits.setListed(new Set(["i-1"]), 600_000);
    assert.equal(limits.tryGet("i-1"), 2);
  });
});
