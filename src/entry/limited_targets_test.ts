/**
 * Guards against exceeding the limit of an overloaded target. Each entry by itself knows
 * only a small part of what the target gets, so the tests check the requests that it gets
 * from all entries together, and that no request is refused that other targets can serve.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type Arrival,
  type EntryFault,
  LimitedEntries,
  type LimitedEntriesOptions,
  type LimitedEntriesResult,
} from "../testing/limited_entries.ts";

const RUN_MS = 24_000;
const SEEDS = [1, 2, 3];
/** Minimum number of entries with which a single short run has enough requests. */
const LARGE_FLEET_ENTRIES = 100;
const SHORT_RUN_MS = 10_000;
/** Milliseconds from the first notice of a limit until it must be kept. */
const PROPAGATION_MS = 1500;
/** Length of the spans in which requests are counted, in milliseconds. */
const SPAN_MS = 4000;
/** Maximum time for which a request waits before it is refused, in milliseconds. */
const MAX_WAIT_MS = 350;

function createOptions(
  changes: Partial<LimitedEntriesOptions> = {},
): LimitedEntriesOptions {
  return {
    seed: 1,
    entries: 9,
    targets: 12,
    requestsPerSecond: 60,
    changes: [{ at: 1000, target: 0, perSecond: 1 }],
    faults: [],
    ...changes,
  };
}

function runAll(
  changes: Partial<LimitedEntriesOptions>,
): readonly LimitedEntriesResult[] {
  const isLarge = (changes.entries ?? 0) >= LARGE_FLEET_ENTRIES;
  const seeds = isLarge ? SEEDS.slice(0, 1) : SEEDS;
  return seeds.map((seed) =>
    new LimitedEntries(createOptions({ ...changes, seed }))
      .run(getRunMs(changes.entries))
  );
}

function getRunMs(entries = 0): number {
  return entries >= LARGE_FLEET_ENTRIES ? SHORT_RUN_MS : RUN_MS;
}

/** Returns the requests that a target got, including those of entries with faults. */
function arrivalsAt(
  { arrivals }: LimitedEntriesResult,
  target: number,
): readonly Arrival[] {
  return arrivals.filter((arrival) => arrival.target === target);
}

function countBetween(
  arrivals: readonly Arrival[],
  from: number,
  to: number,
): number {
  return arrivals.filter(({ at }) => at >= from && at < to).length;
}

/** Returns the maximum number of requests in any span within a part of the run. */
function getMaxInSpan(
  arrivals: readonly Arrival[],
  from: number,
  to: number,
): number {
  const counted = arrivals.filter(({ at }) => at >= from && at < to);
  const spans = counted.map(({ at }) =>
    countBetween(counted, at, at + SPAN_MS)
  );
  return Math.max(0, ...spans);
}

function getAllowedInSpan(perSecond: number): number {
  return 1.5 * perSecond * SPAN_MS / 1000 + 5;
}

interface SizeRow {
  readonly name: string;
  readonly changes: Partial<LimitedEntriesOptions>;
  readonly perSecond: number;
}

const SIZES: readonly SizeRow[] = [
  {
    name: "3 entries, 2 per second",
    changes: { entries: 3, targets: 3 },
    perSecond: 2,
  },
  { name: "9 entries, 1 per second", changes: {}, perSecond: 1 },
  { name: "41 entries, 1 per second", changes: { entries: 41 }, perSecond: 1 },
  {
    name: "41 entries, 12 per second of 20",
    changes: { entries: 41, requestsPerSecond: 240 },
    perSecond: 12,
  },
  {
    name: "720 entries, 0.2 per second",
    changes: { entries: 720, targets: 40, requestsPerSecond: 1440 },
    perSecond: 0.2,
  },
  {
    name: "720 entries, 50 per second of 120",
    changes: { entries: 720, requestsPerSecond: 1440 },
    perSecond: 50,
  },
  { name: "a limit of 0", changes: { entries: 41 }, perSecond: 0 },
];

describe("a target with a limit among targets without one", () => {
  for (const { name, changes, perSecond } of SIZES) {
    it(`gets no more than its limit from all entries together: ${name}`, (test) => {
      const limited = { at: 1000, target: 0, perSecond };
      const results = runAll({ ...changes, changes: [limited] });
      const counts = results.map((result) =>
        getMaxInSpan(arrivalsAt(result, 0), 1000 + PROPAGATION_MS, RUN_MS)
      );
      test.diagnostic(
        `${counts} in a span, permit requests: ${
          results.map(({ permitRequests }) => permitRequests)
        }`,
      );
      assert.ok(
        Math.max(...counts) <= getAllowedInSpan(perSecond),
        `${counts}`,
      );
      // The other targets serve the requests beyond the limit.
      for (const { refusals } of results) assert.equal(refusals.length, 0);
    });
  }

  it("still gets requests up to its limit", () => {
    for (const result of runAll({ entries: 41 })) {
      const count = countBetween(arrivalsAt(result, 0), 4000, 24_000);
      assert.ok(count >= 10, `${count} of 20 requests`);
    }
  });

  it("gets its usual share within two seconds after its limit has ended", () => {
    for (const entries of [3, 41]) {
      const results = runAll({
        entries,
        changes: [
          { at: 1000, target: 0, perSecond: 1 },
          { at: 12_000, target: 0, perSecond: undefined },
        ],
      });
      for (const result of results) {
        const count = countBetween(arrivalsAt(result, 0), 14_000, 24_000);
        assert.ok(count >= 35, `${count} of 50 requests, ${entries} entries`);
      }
    }
  });

  it("gets no more than a lower limit that it names later", () => {
    const results = runAll({
      entries: 41,
      changes: [
        { at: 1000, target: 0, perSecond: 4 },
        { at: 10_000, target: 0, perSecond: 0.5 },
      ],
    });
    for (const result of results) {
      const from = 10_000 + PROPAGATION_MS;
      const max = getMaxInSpan(arrivalsAt(result, 0), from, RUN_MS);
      assert.ok(max <= getAllowedInSpan(0.5), `${max}`);
    }
  });
});

interface FaultRow {
  readonly name: string;
  readonly faults: readonly EntryFault[];
}

/** Returns the same fault for all entries, one after the other. */
function createRollingFaults(
  fault: Pick<EntryFault, "forMs" | "kind">,
): readonly EntryFault[] {
  return Array.from({ length: 9 }, (_, entry) => ({
    ...fault,
    at: 3000 + 2000 * entry,
    entry,
  }));
}

const FAULT_ROWS: readonly FaultRow[] = [
  {
    name: "the entry that issues permits restarts",
    faults: [{ at: 6000, forMs: 1500, kind: "restart" }],
  },
  {
    name: "the entry that issues permits leaves and returns",
    faults: [{ at: 6000, forMs: 6000, kind: "leave" }],
  },
  {
    name: "the entry that issues permits is cut off from the others",
    faults: [{ at: 6000, forMs: 6000, kind: "cut" }],
  },
  {
    name: "all entries restart in turn",
    faults: createRollingFaults({ forMs: 1500, kind: "restart" }),
  },
  {
    name: "entries leave and return in turn",
    faults: createRollingFaults({ forMs: 3000, kind: "leave" }),
  },
  {
    name: "half of the entries restart at once",
    faults: Array.from({ length: 5 }, (_, entry) => ({
      at: 8000,
      forMs: 1000,
      kind: "restart" as const,
      entry,
    })),
  },
];

describe("a target with a limit during faults of entries", () => {
  for (const { name, faults } of FAULT_ROWS) {
    for (const perSecond of [1, 12]) {
      it(`gets no more than its limit: ${name}, ${perSecond} per second`, (test) => {
        // All targets have a limit, so that every request needs a permit.
        const results = runAll({
          targets: 2,
          requestsPerSecond: 8 * perSecond,
          changes: [0, 1].map((target) => ({ at: 1000, target, perSecond })),
          faults,
        });
        const counts = results.map((result) =>
          getMaxInSpan(arrivalsAt(result, 0), 1000 + PROPAGATION_MS, RUN_MS)
        );
        test.diagnostic(`${counts} in a span`);
        assert.ok(
          Math.max(...counts) <= getAllowedInSpan(perSecond),
          `${counts}`,
        );
      });
    }
  }
});

describe("targets that all have limits", () => {
  for (const entries of [3, 41, 720]) {
    it(`get requests up to their limits, and the rest is refused quickly, ${entries} entries`, (test) => {
      const targets = [0, 1, 2];
      const perSecond = 5;
      const results = runAll({
        entries,
        targets: targets.length,
        requestsPerSecond: 60,
        changes: targets.map((target) => ({ at: 1000, target, perSecond })),
      });
      for (const result of results) {
        const counts = targets.map((target) =>
          getMaxInSpan(arrivalsAt(result, target), 2500, RUN_MS)
        );
        const end = getRunMs(entries);
        const sent = countBetween(result.arrivals, 4000, end);
        const allowed = targets.length * perSecond * (end - 4000) / 1000;
        const waitMs = Math.max(...result.refusals.map(({ heldMs }) => heldMs));
        test.diagnostic(
          `${counts} in a span, sent ${sent} of ${allowed}, waited ${waitMs} ms, ` +
            `permit requests: ${result.permitRequests}, replications: ${result.sentUpdates}`,
        );
        assert.ok(
          Math.max(...counts) <= getAllowedInSpan(perSecond),
          `${counts}`,
        );
        assert.ok(sent >= 0.75 * allowed, `${sent} of ${allowed}`);
        assert.ok(waitMs <= MAX_WAIT_MS, `waited ${waitMs} ms`);
        assert.ok(
          result.refusals.every(({ retryAfterSeconds }) =>
            retryAfterSeconds !== undefined && retryAfterSeconds > 0
          ),
        );
      }
    });
  }
});
