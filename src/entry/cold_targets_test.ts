/**
 * Guards against sending recently started (cold) targets the load of warm ones, under
 * which they are slow and fail. The requests that a cold target gets from all entries
 * together are bounded in any span of one second, and no request is refused that other
 * targets can serve.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ListChange } from "../testing/cold_targets.ts";
import {
  type EntryFault,
  LimitedEntries,
  type LimitedEntriesOptions,
  type LimitedEntriesResult,
} from "../testing/limited_entries.ts";

const PER_SECOND = 17;
/** Maximum number of requests to a cold target in any span of one second. */
const MAX_IN_SPAN = 1.5 * PER_SECOND + 5;
const SPAN_MS = 1000;
const START_MS = 3000;
/** Milliseconds within which each entry has read a new list. */
const LIST_DELAY_MS = 1100;
const COLD_AT = 2000;
const RUN_MS = 7000;

function createOptions(
  changes: Partial<LimitedEntriesOptions> = {},
): LimitedEntriesOptions {
  return {
    seed: 1,
    entries: 41,
    targets: 6,
    requestsPerSecond: 600,
    changes: [],
    faults: [],
    cold: createPlan([createListed([0, 1, 2], true)]),
    ...changes,
  };
}

function createPlan(
  changes: readonly ListChange[],
  delayMsByEntry?: ReadonlyMap<number, number>,
) {
  return { perSecond: PER_SECOND, startMs: START_MS, changes, delayMsByEntry };
}

function createListed(
  targets: readonly number[],
  isCold: boolean | undefined,
  at = COLD_AT,
): ListChange {
  return { at, targets, kind: "told", isCold };
}

function run(changes: Partial<LimitedEntriesOptions>): LimitedEntriesResult {
  return new LimitedEntries(createOptions(changes)).run(RUN_MS);
}

/**
 * Returns the maximum number of requests to a target in any span of one second within a
 * part of the run.
 */
function getMaxInSpan(
  { arrivals }: LimitedEntriesResult,
  target: number,
  [from, to]: readonly [number, number],
): number {
  const times = arrivals
    .filter((arrival) =>
      arrival.target === target && arrival.at >= from && arrival.at < to
    )
    .map(({ at }) => at);
  let first = 0;
  return times.reduce((max, at, index) => {
    while (at - (times[first] as number) >= SPAN_MS) first++;
    return Math.max(max, index - first + 1);
  }, 0);
}

/** Asserts the bound for cold targets; returns the maximum that one of them got. */
function checkBound(
  result: LimitedEntriesResult,
  targets: readonly number[],
  span: readonly [number, number] = [COLD_AT + LIST_DELAY_MS, RUN_MS],
): number {
  const max = Math.max(
    ...targets.map((target) => getMaxInSpan(result, target, span)),
  );
  assert.ok(max <= MAX_IN_SPAN, `${max} requests in one second`);
  return max;
}

const ALL = [0, 1, 2, 3, 4, 5];
const HALF = [0, 1, 2];
/**
 * Few targets with many entries, as each entry ranks all entries for each cold target.
 */
const SIZES = [
  { entries: 3, targets: 6 },
  { entries: 41, targets: 6 },
  { entries: 720, targets: 2 },
];

describe("targets that are listed as cold", () => {
  for (const { entries, targets } of SIZES) {
    const all = Array.from({ length: targets }, (_, target) => target);
    const half = all.slice(0, targets / 2);

    // Guards against each entry sending cold targets the same share as warm ones.
    it(`get no more than their limit, and no caller is refused, ${entries} entries`, (test) => {
      const cold = createPlan([createListed(half, true)]);
      const requestsPerSecond = 100 * targets;
      const result = run({ entries, targets, requestsPerSecond, cold });
      test.diagnostic(`${checkBound(result, half)} requests in one second`);
      assert.equal(result.refusals.length, 0);
      assert.ok(getMaxInSpan(result, 0, [0, COLD_AT]) > MAX_IN_SPAN);
    });

    // Guards against permits that exceed the bound together if every request needs one.
    it(`get requests up to their limit if all are cold, ${entries} entries`, (test) => {
      const cold = createPlan([createListed(all, true)]);
      const requestsPerSecond = 50 * targets;
      const result = run({ entries, targets, requestsPerSecond, cold });
      const max = checkBound(result, all);
      const from = COLD_AT + LIST_DELAY_MS;
      const sent = result.arrivals.filter(({ at }) => at >= from).length;
      const allowed = targets * PER_SECOND * (RUN_MS - from) / 1000;
      test.diagnostic(
        `${max} requests in one second, sent ${sent} of ${allowed}`,
      );
      assert.ok(sent >= 0.75 * allowed, `sent ${sent} of ${allowed}`);
      const refused = result.refusals.filter(({ at }) => at >= from);
      assert.ok(refused.length > 0);
      assert.ok(
        refused.every(({ retryAfterSeconds = 0, heldMs }) =>
          retryAfterSeconds > 0 && heldMs <= 350
        ),
      );
    });
  }

  // Guards against limiting a target that has warmed up, and against not limiting one
  // that is cold again.
  it("get their usual share once warm, and are limited when cold again", () => {
    const cold = createPlan([
      createListed([0], true, 1000),
      createListed([0], false, 3000),
      createListed([0], true, 5000),
    ]);
    const result = run({ cold });
    checkBound(result, [0], [1000 + LIST_DELAY_MS, 3000]);
    assert.ok(getMaxInSpan(result, 0, [4100, 5000]) > MAX_IN_SPAN);
    checkBound(result, [0], [5000 + LIST_DELAY_MS, RUN_MS]);
  });

  // Guards against requests beyond the bound from an entry that has not read the list
  // yet.
  it("get no more than their limit while one entry reads the list late", () => {
    const delayMsByEntry = new Map([[4, 2500]]);
    const cold = createPlan([createListed(HALF, true)], delayMsByEntry);
    checkBound(run({ cold }), HALF);
  });
});

describe("targets of a failure domain that restart together", () => {
  const gone: ListChange = { at: 500, targets: HALF, kind: "gone" };
  // Guards against treating targets as warm if the list does not state whether they are.
  for (const isCold of [true, undefined]) {
    it(`get no more than their limit from the first request on, listed isCold: ${isCold}`, () => {
      const started = { at: COLD_AT, targets: HALF, kind: "started", isCold };
      const result = run({
        cold: createPlan([gone, started as ListChange]),
      });
      const until = COLD_AT + START_MS;
      checkBound(result, HALF, [COLD_AT, until]);
      assert.equal(result.refusals.length, 0);
      assert.ok(result.arrivals.some(({ target }) => target === 0));
    });
  }

  // Guards against limiting targets beyond their warm-up time if no list states anything.
  it("get their usual share once their warm-up time has ended", () => {
    const started: ListChange = { at: COLD_AT, targets: HALF, kind: "started" };
    const result = run({ cold: createPlan([gone, started]) });
    const warmAt = COLD_AT + START_MS + LIST_DELAY_MS;
    assert.ok(getMaxInSpan(result, 0, [warmAt, RUN_MS]) > MAX_IN_SPAN / 2);
  });
});

interface FaultRow {
  readonly name: string;
  readonly faults: readonly EntryFault[];
}

const FAULT_ROWS: readonly FaultRow[] = [
  {
    name: "the issuer restarts before they turn cold",
    faults: [{ at: 1800, kind: "restart", forMs: 1000 }],
  },
  {
    name: "the issuer restarts while they are cold",
    faults: [{ at: 3300, kind: "restart", forMs: 1000 }],
  },
  {
    name: "the issuer is lost",
    faults: [{ at: 3300, kind: "leave", forMs: RUN_MS }],
  },
  {
    name: "the issuer returns after another one has replaced it",
    faults: [{ at: -5900, kind: "leave", forMs: 9500 }],
  },
  {
    name: "the issuer is cut off from the other entries",
    faults: [{ at: 3300, kind: "cut", forMs: 3000 }],
  },
  {
    name: "the issuer is cut off while another entry leaves",
    faults: [
      { at: 3300, kind: "cut", forMs: 3000 },
      { at: 3300, kind: "leave", forMs: 2000, entry: 1 },
    ],
  },
];

describe("cold targets during faults of entries", () => {
  // Guards against a secondary or a new primary issuer exceeding the limit of the target.
  for (const [row, { name, faults }] of FAULT_ROWS.entries()) {
    for (const entries of [3, 41]) {
      it(`get no more than their limit: ${name}, ${entries} entries, all cold`, (test) => {
        const cold = createPlan([createListed(ALL, true)]);
        const result = run({ seed: 1 + row, entries, cold, faults });
        test.diagnostic(`${checkBound(result, ALL)} requests in one second`);
      });
    }
  }
});

describe("a list that does not state whether targets are cold", () => {
  // Guards against taking a missing value as a change of what an earlier list stated.
  it("neither makes targets cold nor ends their warm-up early", () => {
    const unstated = run({ cold: createPlan([createListed(ALL, undefined)]) });
    assert.equal(unstated.refusals.length, 0);
    assert.ok(getMaxInSpan(unstated, 0, [3000, RUN_MS]) > MAX_IN_SPAN);
    const cold = createPlan([
      createListed(HALF, true, 1000),
      createListed(HALF, undefined, 2500),
    ]);
    checkBound(run({ cold }), HALF, [1000 + LIST_DELAY_MS, 5000]);
  });
});
