/**
 * Guards against overloading targets that refuse all requests for a while and request a
 * backoff from each entry that sent one. An entry must send such a target nothing during
 * the backoff and keep sending to the other targets, and the load must return gradually
 * once the backoff has ended.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  LimitedEntries,
  type LimitedEntriesOptions,
  type LimitedEntriesResult,
} from "../testing/limited_entries.ts";

const BACKOFF_MS = 3000;
/** Milliseconds after a notice in which requests sent before it may still arrive. */
const IN_TRANSIT_MS = 500;
/** Maximum requests of one entry to a target from then to the end of a backoff. */
const MAX_IN_BACKOFF = 2;
/** Span of the run in which targets refuse all requests. */
const FROM_MS = 2000;
const UNTIL_MS = 8000;
const RUN_MS = 14_000;
/** Milliseconds from its arrival within which nearly every refused request is answered. */
const ANSWERED_MS = 1500;
/** Length of the spans in which requests are counted, in milliseconds. */
const SPAN_MS = 250;
/** Requests that a target runs at the same time. */
const CONCURRENCY = 8;
const SIZES = [
  { entries: 3, requestsPerSecond: 60 },
  { entries: 41, requestsPerSecond: 600 },
  { entries: 720, requestsPerSecond: 1440 },
] as const;

function run(
  changes: Partial<LimitedEntriesOptions>,
  targets: number,
  refusing: readonly number[],
): LimitedEntriesResult {
  return new LimitedEntries({
    seed: 1,
    entries: 3,
    targets,
    requestsPerSecond: 60,
    changes: [],
    faults: [],
    rejections: refusing.map((target) => ({
      from: FROM_MS,
      to: UNTIL_MS,
      target,
      askedMs: BACKOFF_MS,
    })),
    ...changes,
  }).run(RUN_MS);
}

/**
 * Returns the highest number of requests that one entry sent to target 0 in a backoff. An
 * entry learns of the backoff from the answer of its first refused request, at most
 * {@link ANSWERED_MS} after that request arrived.
 */
function getMaxInBackoff({ arrivals }: LimitedEntriesResult): number {
  const byEntry = new Map<number, number[]>();
  for (const { at, target, entry } of arrivals) {
    if (target !== 0 || at < FROM_MS || at >= UNTIL_MS) continue;
    byEntry.set(entry, [...byEntry.get(entry) ?? [], at]);
  }
  const counts = [...byEntry.values()].map((times) => {
    const knownAt = (times[0] ?? 0) + ANSWERED_MS;
    const end = (times[0] ?? 0) + BACKOFF_MS;
    return times.filter((at) => at > knownAt + IN_TRANSIT_MS && at < end)
      .length;
  });
  return Math.max(0, ...counts);
}

describe("targets that request backoffs from a fleet of entries", () => {
  for (const size of SIZES) {
    it(`get no requests from an entry that knows the backoff, ${size.entries} entries`, () => {
      const result = run(size, 3, [0]);
      assert.ok(getMaxInBackoff(result) <= MAX_IN_BACKOFF);
      assert.ok(
        result.refusals.every(({ reason }) => reason !== "TARGETS_BACKING_OFF"),
      );
    });
  }

  it("get their whole load back gradually", () => {
    const { arrivals } = run({ entries: 41, requestsPerSecond: 600 }, 3, [0]);
    const countIn = (from: number, to: number) =>
      arrivals.filter(({ at, target }) => target === 0 && at >= from && at < to)
        .length * 1000 / (to - from);
    const usual = countIn(0, FROM_MS);
    const first = countIn(UNTIL_MS + BACKOFF_MS, UNTIL_MS + BACKOFF_MS + 500);
    const later = countIn(RUN_MS - 1500, RUN_MS);
    assert.ok(first <= 1.5 * usual, `${first} per second, ${usual} before`);
    assert.ok(later >= 0.7 * usual, `${later} per second, ${usual} before`);
  });

  it("have callers refused immediately with correct retry delays if all back off", () => {
    const { refusals } = run({}, 2, [0, 1]);
    const refused = refusals.filter(({ at }) =>
      at > FROM_MS + ANSWERED_MS && at < FROM_MS + BACKOFF_MS
    );
    assert.ok(refused.length > 0);
    const latest = 2 * BACKOFF_MS / 1000;
    for (const { reason, heldMs, retryAfterSeconds = 0 } of refused) {
      assert.equal(reason, "TARGETS_BACKING_OFF");
      assert.equal(heldMs, 0);
      assert.ok(retryAfterSeconds > 0 && retryAfterSeconds <= latest);
    }
  });

  it("are not sent all waiting requests at once when the backoff ends", () => {
    const { arrivals } = run({}, 2, [0, 1]);
    const usual = arrivals.filter(({ at }) => at < FROM_MS).length;
    // Requests beyond the usual rate must fit into the concurrency of both targets.
    const max = usual * SPAN_MS / FROM_MS + 2 * CONCURRENCY;
    const times = arrivals.map(({ at }) => at).filter((at) => at > FROM_MS);
    const counts = times.map((first) =>
      times.filter((at) => at >= first && at < first + SPAN_MS).length
    );
    assert.ok(
      Math.max(...counts) <= max,
      `${Math.max(...counts)} requests, at most: ${max}`,
    );
  });
});

describe("a target that announces to a fleet of entries that it leaves", () => {
  for (const size of SIZES) {
    it(`gets no requests from any of them, ${size.entries} entries`, () => {
      const leaving = [{ at: FROM_MS, target: 0 }];
      const { arrivals } = run({ ...size, leaving }, 3, []);
      const late = arrivals.filter(({ at, target }) =>
        target === 0 && at > FROM_MS + ANSWERED_MS + IN_TRANSIT_MS
      );
      assert.equal(late.length, 0);
    });
  }
});
