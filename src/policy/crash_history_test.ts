/**
 * Guards against refusing the wrong requests when one request crashes every target that
 * runs it. The requests that ran beside it on the same targets are not the cause, and
 * neither are those in flight during a power failure.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { type CrashedRequest, CrashHistory } from "./crash_history.ts";

const MINUTE_MS = 60_000;

interface CrashFixture {
  readonly target: string;
  readonly aliveAt: number;
  readonly endedAt: number;
}

function createHistory(
  crashes: readonly CrashFixture[],
  request = "poison",
): CrashHistory {
  const history = new CrashHistory();
  for (const crash of crashes) history.record(request, crash, crash.endedAt);
  return history;
}

function createCrash(number: number, at = number * 5000): CrashFixture {
  return { target: `target-${number}`, aliveAt: at, endedAt: at + 200 };
}

describe("a request that was sent again after a crash", () => {
  it("is refused after a second crash", () => {
    const history = createHistory([createCrash(1), createCrash(2)]);
    assert.ok(history.getRemainingRefusalMs("poison", 10_300) > 0);
    assert.equal(history.getRemainingRefusalMs("another", 10_300), 0);
  });

  it("is refused when the report of its first crash was delayed", () => {
    const [first, second] = [createCrash(1), createCrash(2)];
    const history = new CrashHistory();
    const late = { ...first, aliveAt: 9000, endedAt: 11_200 };
    history.merge([{ request: "poison", crashes: [late] }], 12_000);
    history.merge([{ request: "poison", crashes: [first, second] }], 12_000);
    assert.ok(history.getRemainingRefusalMs("poison", 12_000) > 0);
  });

  it("may run again after a minute, and after four minutes with a third crash", () => {
    const two = createHistory([createCrash(1), createCrash(2)]);
    assert.equal(two.getRemainingRefusalMs("poison", 10_200 + MINUTE_MS), 0);
    const crashes = [1, 2, 3].map((number) => createCrash(number));
    const three = createHistory(crashes);
    assert.equal(three.getRemainingRefusalMs("poison", 15_200), 4 * MINUTE_MS);
  });

  it("is forgotten when it is not sent again", () => {
    const history = createHistory([createCrash(1), createCrash(2)]);
    const later = 2 * 60 * MINUTE_MS;
    history.record("other", createCrash(3, later), later + 200);
    assert.deepEqual(history.list().map(({ request }) => request), ["other"]);
  });
});

interface UnaffectedCase {
  readonly name: string;
  readonly crashes: readonly CrashFixture[];
}

const UNAFFECTED_CASES: readonly UnaffectedCase[] = [
  { name: "that was running during a single crash", crashes: [createCrash(1)] },
  {
    name: "that was running on several targets during a power failure",
    crashes: [1, 2, 3, 4].map((number) => createCrash(number, 1000)),
  },
  {
    name:
      "that waited for two targets, one after the other, that were silent from the start",
    crashes: [
      { target: "one", aliveAt: 900, endedAt: 3000 },
      { target: "two", aliveAt: 950, endedAt: 5000 },
    ],
  },
  {
    name: "whose single crash is reported twice",
    crashes: [createCrash(1), { ...createCrash(1), endedAt: 9000 }],
  },
];

describe("a request is not refused", () => {
  for (const { name, crashes } of UNAFFECTED_CASES) {
    it(name, () => {
      const history = createHistory(crashes);
      assert.equal(history.getRemainingRefusalMs("poison", 10_000), 0);
    });
  }

  it("that was answered between two crashes", () => {
    const history = createHistory([createCrash(1)]);
    assert.ok(history.recordServed("poison", 6000));
    history.record("poison", createCrash(2), 10_200);
    assert.equal(history.getRemainingRefusalMs("poison", 10_300), 0);
  });

  it("that was answered after two crashes", () => {
    const history = createHistory([createCrash(1), createCrash(2)]);
    assert.ok(history.recordServed("poison", 11_000));
    assert.equal(history.getRemainingRefusalMs("poison", 11_000), 0);
    assert.equal(history.record("poison", createCrash(2), 11_000), false);
  });
});

const CRASHED: fc.Arbitrary<CrashedRequest> = fc.record({
  request: fc.constantFrom("a", "b", "c"),
  crashes: fc.array(
    fc.record({
      target: fc.constantFrom("one", "two", "three", "four"),
      aliveAt: fc.nat(5000),
      endedAt: fc.integer({ min: 5000, max: 20_000 }),
    }),
    { maxLength: 4 },
  ),
  servedAt: fc.option(fc.nat(20_000), { nil: undefined }),
});

describe("crash histories of several entries", () => {
  it("are bounded, and keep the requests with the most crashes", () => {
    const history = createHistory([createCrash(1), createCrash(2)]);
    for (let number = 0; number < 500; number++) {
      const at = 20_000 + number;
      history.record(`once-${number}`, createCrash(3, at), at + 200);
    }
    assert.ok(history.list().length <= 256);
    assert.ok(history.getRemainingRefusalMs("poison", 20_600) > 0);
  });

  it("are equal after each has merged the other, in either order", () => {
    fc.assert(
      fc.property(
        fc.array(CRASHED, { maxLength: 6 }),
        fc.array(CRASHED, { maxLength: 6 }),
        (firstEntries, secondEntries) => {
          const now = 20_000;
          const first = new CrashHistory();
          const second = new CrashHistory();
          first.merge(firstEntries, now);
          second.merge(secondEntries, now);
          for (let round = 0; round < 2; round++) {
            second.merge(first.list(), now);
            first.merge(second.list(), now);
          }
          assert.equal(first.content, second.content);
        },
      ),
      { seed: 7, numRuns: 500 },
    );
  });
});
