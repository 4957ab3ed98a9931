/**
 * The load that these tests tell of: targets that have started are slow and fail under
 * what warm ones bear, while callers go on at a fleet of entries. What a cold target gets
 * from all entries is bounded in any span of one second, and callers lose nothing that
 * others serve.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ListChange } from "../testing/cold_targets.ts";
import {
  type EntryTrouble,
  LimitedEntries,
  type LimitedEntriesOptions,
  type LimitedEntriesResult,
} from "../testing/limited_entries.ts";

const PER_SECOND = 17;
/** Requests in any span of one second. */
const MOST_IN_SPAN = 1.5 * PER_SECOND + 5;
const SPAN_MS = 1000;
const START_MS = 3000;
/** Milliseconds in which each entry hears a list. */
const HEARD_WITHIN_MS = 1100;
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
    troubles: [],
    cold: createPlan([told([0, 1, 2], true)]),
    ...changes,
  };
}

function createPlan(
  changes: readonly ListChange[],
  lateMs?: ReadonlyMap<number, number>,
) {
  return { perSecond: PER_SECOND, startMs: START_MS, changes, lateMs };
}

function told(
  targets: readonly number[],
  isCold: boolean | undefined,
  at = COLD_AT,
): ListChange {
  return { at, targets, kind: "told", isCold };
}

function run(changes: Partial<LimitedEntriesOptions>): LimitedEntriesResult {
  return new LimitedEntries(createOptions(changes)).run(RUN_MS);
}

/** Most requests to a target in any span of one second of a part of the run. */
function mostAt(
  { arrivals }: LimitedEntriesResult,
  target: number,
  [from, to]: readonly [number, number],
): number {
  const times = arrivals
    .filter((one) => one.target === target && one.at >= from && one.at < to)
    .map(({ at }) => at);
  let first = 0;
  return times.reduce((most, at, index) => {
    while (at - (times[first] as number) >= SPAN_MS) first++;
    return Math.max(most, index - first + 1);
  }, 0);
}

/** Checks the bound for cold targets, and returns the most that one got. */
function checkBound(
  result: LimitedEntriesResult,
  targets: readonly number[],
  span: readonly [number, number] = [COLD_AT + HEARD_WITHIN_MS, RUN_MS],
): number {
  const most = Math.max(...targets.map((one) => mostAt(result, one, span)));
  assert.ok(most <= MOST_IN_SPAN, `${most} in a second`);
  return most;
}

const ALL = [0, 1, 2, 3, 4, 5];
const HALF = [0, 1, 2];
/** Few targets at many entries, as each entry ranks all entries for each cold target. */
const SIZES = [
  { entries: 3, targets: 6 },
  { entries: 41, targets: 6 },
  { entries: 720, targets: 2 },
];

describe("targets that the list says are cold", () => {
  for (const { entries, targets } of SIZES) {
    const all = Array.from({ length: targets }, (_, target) => target);
    const half = all.slice(0, targets / 2);

    // Guards against each entry sending its share to cold targets as to warm ones.
    it(`get no more than they bear, and callers lose nothing, ${entries} entries`, (test) => {
      const cold = createPlan([told(half, true)]);
      const requestsPerSecond = 100 * targets;
      const result = run({ entries, targets, requestsPerSecond, cold });
      test.diagnostic(`${checkBound(result, half)} in a second`);
      assert.equal(result.refusals.length, 0);
      assert.ok(mostAt(result, 0, [0, COLD_AT]) > MOST_IN_SPAN);
    });

    // Guards against permits that add up above the bound where each is asked for.
    it(`are sent what they bear where all are cold, ${entries} entries`, (test) => {
      const cold = createPlan([told(all, true)]);
      const requestsPerSecond = 50 * targets;
      const result = run({ entries, targets, requestsPerSecond, cold });
      const most = checkBound(result, all);
      const from = COLD_AT + HEARD_WITHIN_MS;
      const sent = result.arrivals.filter(({ at }) => at >= from).length;
      const taken = targets * PER_SECOND * (RUN_MS - from) / 1000;
      test.diagnostic(`${most} in a second, sent ${sent} of ${taken}`);
      assert.ok(sent >= 0.75 * taken, `sent ${sent} of ${taken}`);
      const refused = result.refusals.filter(({ at }) => at >= from);
      assert.ok(refused.length > 0);
      assert.ok(
        refused.every(({ retryAfterSeconds = 0, heldMs }) =>
          retryAfterSeconds > 0 && heldMs <= 350
        ),
      );
    });
  }

  // Guards against a target that is held to the limit after it has warmed up, or that is
  // not held to it when it turns cold once more.
  it("get their part when they are warm, and are held again when cold again", () => {
    const cold = createPlan([
      told([0], true, 1000),
      told([0], false, 3000),
      told([0], true, 5000),
    ]);
    const result = run({ cold });
    checkBound(result, [0], [1000 + HEARD_WITHIN_MS, 3000]);
    assert.ok(mostAt(result, 0, [4100, 5000]) > MOST_IN_SPAN);
    checkBound(result, [0], [5000 + HEARD_WITHIN_MS, RUN_MS]);
  });

  // Guards against the first requests of an entry that has not heard yet breaking the
  // bound.
  it("get no more while one entry hears late", () => {
    const lateMs = new Map([[4, 2500]]);
    const cold = createPlan([told(HALF, true)], lateMs);
    checkBound(run({ cold }), HALF);
  });
});

describe("a failure domain's targets that come back together", () => {
  const gone: ListChange = { at: 500, targets: HALF, kind: "gone" };
  // Guards against a list that does not say so being taken for warm targets.
  for (const isCold of [true, undefined]) {
    it(`get no more from their first request on, the list says ${isCold}`, () => {
      const back = { at: COLD_AT, targets: HALF, kind: "started", isCold };
      const result = run({
        cold: createPlan([gone, back as ListChange]),
      });
      const until = COLD_AT + START_MS;
      checkBound(result, HALF, [COLD_AT, until]);
      assert.equal(result.refusals.length, 0);
      assert.ok(result.arrivals.some(({ target }) => target === 0));
    });
  }

  // Guards against targets held as cold beyond their time where no list says anything.
  it("get their part once their time is over", () => {
    const back: ListChange = { at: COLD_AT, targets: HALF, kind: "started" };
    const result = run({ cold: createPlan([gone, back]) });
    const over = COLD_AT + START_MS + HEARD_WITHIN_MS;
    assert.ok(mostAt(result, 0, [over, RUN_MS]) > MOST_IN_SPAN / 2);
  });
});

interface TroubleRow {
  readonly name: string;
  readonly troubles: readonly EntryTrouble[];
}

const TROUBLES: readonly TroubleRow[] = [
  {
    name: "the giver restarts before they turn cold",
    troubles: [{ at: 1800, kind: "restart", forMs: 1000 }],
  },
  {
    name: "the giver restarts while they are cold",
    troubles: [{ at: 3300, kind: "restart", forMs: 1000 }],
  },
  {
    name: "the giver is lost",
    troubles: [{ at: 3300, kind: "leave", forMs: RUN_MS }],
  },
  {
    name: "the giver comes back after another one has settled",
    troubles: [{ at: -5900, kind: "leave", forMs: 9500 }],
  },
  {
    name: "the giver is cut off from the others",
    troubles: [{ at: 3300, kind: "cut", forMs: 3000 }],
  },
  {
    name: "the giver is cut off while another entry leaves",
    troubles: [
      { at: 3300, kind: "cut", forMs: 3000 },
      { at: 3300, kind: "leave", forMs: 2000, entry: 1 },
    ],
  },
];

describe("cold targets while entries are in trouble", () => {
  // Guards against a second giver, or a new first one, adding more than the target bears.
  for (const [row, { name, troubles }] of TROUBLES.entries()) {
    for (const entries of [3, 41]) {
      it(`get no more: ${name}, ${entries} entries, all cold`, (test) => {
        const cold = createPlan([told(ALL, true)]);
        const result = run({ seed: 1 + row, entries, cold, troubles });
        test.diagnostic(`${checkBound(result, ALL)} in a second`);
      });
    }
  }
});

describe("a list that says nothing of coldness", () => {
  // Guards against an absent word ending what the list before has said, or starting
  // anything.
  it("starts nothing, and ends nothing before its time", () => {
    const silent = run({ cold: createPlan([told(ALL, undefined)]) });
    assert.equal(silent.refusals.length, 0);
    assert.ok(mostAt(silent, 0, [3000, RUN_MS]) > MOST_IN_SPAN);
    const cold = createPlan([
      told(HALF, true, 1000),
      told(HALF, undefined, 2500),
    ]);
    checkBound(run({ cold }), HALF, [1000 + HEARD_WITHIN_MS, 5000]);
  });
});
