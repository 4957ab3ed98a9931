/**
 * The load that these tests tell of: callers go on at a fleet of entries while targets
 * turn all requests away for a while and ask whoever sent one for a backoff, each entry
 * by itself. No entry sends such a target anything in its backoff, the others are not
 * held back, and the load comes back over time.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  LimitedEntries,
  type LimitedEntriesOptions,
  type LimitedEntriesResult,
} from "../testing/limited_entries.ts";

const ASKED_MS = 3000;
/** Milliseconds after a word in which requests may still arrive. */
const ON_THE_WAY_MS = 500;
/** Requests of an entry that may reach a target from then to the end of a backoff. */
const MOST_IN_BACKOFF = 2;
const FROM = 2000;
const TO = 8000;
const RUN_MS = 14_000;
/**
 * Milliseconds within which the answer of a refused request has come in nearly all cases.
 */
const ANSWERED_MS = 1500;
/** Milliseconds of any span in which what comes back is counted. */
const SPAN_MS = 250;
/** Places of a target. */
const PLACES = 8;
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
    troubles: [],
    refusing: refusing.map((target) => ({
      from: FROM,
      to: TO,
      target,
      askedMs: ASKED_MS,
    })),
    ...changes,
  }).run(RUN_MS);
}

/**
 * Most requests of one entry in a backoff: an entry is told by the first request that is
 * turned away, at the latest {@link ANSWERED_MS} after that came.
 */
function mostInBackoff({ arrivals }: LimitedEntriesResult): number {
  const byEntry = new Map<number, number[]>();
  for (const { at, target, entry } of arrivals) {
    if (target !== 0 || at < FROM || at >= TO) continue;
    byEntry.set(entry, [...byEntry.get(entry) ?? [], at]);
  }
  const counts = [...byEntry.values()].map((times) => {
    const told = (times[0] ?? 0) + ANSWERED_MS;
    const end = (times[0] ?? 0) + ASKED_MS;
    return times.filter((at) => at > told + ON_THE_WAY_MS && at < end).length;
  });
  return Math.max(0, ...counts);
}

describe("targets that ask a fleet of entries for backoffs", () => {
  for (const size of SIZES) {
    it(`get nothing from an entry that was told, ${size.entries} entries`, () => {
      const result = run(size, 3, [0]);
      assert.ok(mostInBackoff(result) <= MOST_IN_BACKOFF);
      assert.ok(
        result.refusals.every(({ reason }) => reason !== "TARGETS_BACKING_OFF"),
      );
    });
  }

  it("get their load back over time, and all of it", () => {
    const { arrivals } = run({ entries: 41, requestsPerSecond: 600 }, 3, [0]);
    const countIn = (from: number, to: number) =>
      arrivals.filter(({ at, target }) => target === 0 && at >= from && at < to)
        .length * 1000 / (to - from);
    const usual = countIn(0, FROM);
    const first = countIn(TO + ASKED_MS, TO + ASKED_MS + 500);
    const later = countIn(RUN_MS - 1500, RUN_MS);
    assert.ok(first <= 1.5 * usual, `${first} a second, ${usual} before`);
    assert.ok(later >= 0.7 * usual, `${later} a second, ${usual} before`);
  });

  it("have their callers refused at once, with times that are true, where all do", () => {
    const { refusals } = run({}, 2, [0, 1]);
    const told = refusals.filter(({ at }) =>
      at > FROM + ANSWERED_MS && at < FROM + ASKED_MS
    );
    assert.ok(told.length > 0);
    const latest = 2 * ASKED_MS / 1000;
    for (const { reason, heldMs, retryAfterSeconds = 0 } of told) {
      assert.equal(reason, "TARGETS_BACKING_OFF");
      assert.equal(heldMs, 0);
      assert.ok(retryAfterSeconds > 0 && retryAfterSeconds <= latest);
    }
  });

  it("are not all sent at once what waited for the end", () => {
    const { arrivals } = run({}, 2, [0, 1]);
    const usual = arrivals.filter(({ at }) => at < FROM).length;
    // What comes beside the usual requests fits into the places of both.
    const most = usual * SPAN_MS / FROM + 2 * PLACES;
    const times = arrivals.map(({ at }) => at).filter((at) => at > FROM);
    const counts = times.map((first) =>
      times.filter((at) => at >= first && at < first + SPAN_MS).length
    );
    assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)}, ${most}`);
  });
});

describe("a target that tells a fleet of entries that it leaves", () => {
  for (const size of SIZES) {
    it(`gets nothing from any of them, ${size.entries} entries`, () => {
      const leaving = [{ at: FROM, target: 0 }];
      const { arrivals } = run({ ...size, leaving }, 3, []);
      const late = arrivals.filter(({ at, target }) =>
        target === 0 && at > FROM + ANSWERED_MS + ON_THE_WAY_MS
      );
      assert.equal(late.length, 0);
    });
  }
});
