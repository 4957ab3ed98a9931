import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import {
  BacklogAdmission,
  type BacklogContext,
  type PassReport,
} from "./backlog_admission.ts";

const PAUSE_OBJECTIVE_MS = 120;
const SLOTS = 288;
/** Milliseconds between two reports of the decider. */
const REPORT_INTERVAL_MS = 200;
/** Age of a report when it is received, in milliseconds. */
const REPORT_AGE_MS = 150;
/** Requests that wait as the group opens, over all entries. */
const WAITING = 190;
/** Chunks of one answer, one in each pass. */
const CHUNKS = 28;
/** Milliseconds of a pass without requests, and the increase by each running request. */
const EMPTY_PASS_MS = 30;
const PASS_MS_PER_REQUEST = 0.6;

interface OpeningResult {
  readonly longestPassMs: number;
  /** Virtual time at which the last waiting request was sent. */
  readonly allSentAt: number;
}

interface OpeningOptions {
  readonly entries: number;
  readonly isLimited: boolean;
}

/** The passes that have begun, as the decider reports them. */
interface PassRecord {
  readonly at: number;
  readonly passMs: number | undefined;
  readonly load: number;
}

/** Runs a group that opens while requests wait at entries. */
class Opening {
  readonly #options: OpeningOptions;
  readonly #admissions: readonly BacklogAdmission[];
  readonly #random = new RandomSource(1);
  #waiting: number[];
  #running: number[] = [];
  readonly #records: PassRecord[] = [];
  #passMs: number | undefined;

  constructor(options: OpeningOptions) {
    this.#options = options;
    const { entries } = options;
    this.#admissions = Array.from(
      { length: entries },
      () => new BacklogAdmission(),
    );
    this.#waiting = Array.from(
      { length: entries },
      (_, index) => Math.floor((index + 1) * WAITING / entries),
    ).map((sum, index, sums) => sum - (sums[index - 1] ?? 0));
  }

  run(untilMs: number): OpeningResult {
    let longestPassMs = 0;
    let allSentAt = Infinity;
    let nextReportAt = 0;
    for (let now = 0; now < untilMs;) {
      if (now >= nextReportAt) {
        this.#report(now);
        nextReportAt += REPORT_INTERVAL_MS;
      }
      this.#sendWaiting(now);
      const isDone = this.#waiting.every((count) => count === 0);
      if (isDone) allSentAt = Math.min(allSentAt, now);
      const load = this.#running.length;
      const previousPassMs = this.#passMs;
      this.#records.push({ at: now, passMs: previousPassMs, load });
      const passMs = EMPTY_PASS_MS + PASS_MS_PER_REQUEST * load;
      this.#passMs = passMs;
      longestPassMs = Math.max(longestPassMs, passMs);
      now += passMs;
      this.#running = this.#running.map((remaining) => remaining - 1)
        .filter((remaining) => remaining > 0);
    }
    return { longestPassMs, allSentAt };
  }

  #report(now: number): void {
    const seen = this.#records.findLast(({ at }) => at <= now - REPORT_AGE_MS);
    const { passMs, load } = seen ?? { passMs: undefined, load: 0 };
    for (const admission of this.#admissions) {
      admission.record({ at: now, ageMs: REPORT_AGE_MS, passMs, load });
    }
  }

  #sendWaiting(now: number): void {
    const { entries, isLimited } = this.#options;
    const context = {
      now,
      pauseObjectiveMs: PAUSE_OBJECTIVE_MS,
      slots: SLOTS,
      entries,
      random: this.#random,
    };
    for (const [index, admission] of this.#admissions.entries()) {
      while ((this.#waiting[index] ?? 0) > 0) {
        if (isLimited && !admission.mayAdmit(context)) break;
        admission.recordSent(now);
        this.#waiting[index] = (this.#waiting[index] ?? 0) - 1;
        this.#running.push(CHUNKS);
      }
    }
  }
}

function createReport(changes: Partial<PassReport> = {}): PassReport {
  return { at: 0, ageMs: 0, passMs: 60, load: 100, ...changes };
}

/** Returns how many waiting requests an entry sends at once. */
function countAdmitted(
  admission: BacklogAdmission,
  changes: Partial<BacklogContext> = {},
): number {
  const { now = 10 } = changes;
  const context = {
    now,
    pauseObjectiveMs: PAUSE_OBJECTIVE_MS,
    slots: SLOTS,
    entries: 1,
    random: new RandomSource(1),
    ...changes,
  };
  let count = 0;
  for (; count < 1000 && admission.mayAdmit(context); count++) {
    admission.recordSent(now);
  }
  return count;
}

describe("requests that wait for a group that opens", () => {
  it("make passes too long when all are sent at once", () => {
    const result = new Opening({ entries: 9, isLimited: false }).run(3000);
    assert.ok(result.longestPassMs > PAUSE_OBJECTIVE_MS);
  });

  // Guards against pauses in all answers in progress, with few and with many entries.
  for (const entries of [1, 9, 41, 720]) {
    it(`keep passes within the pause that callers accept, ${entries} entries`, () => {
      const result = new Opening({ entries, isLimited: true }).run(6000);
      assert.ok(
        result.longestPassMs <= 1.05 * PAUSE_OBJECTIVE_MS,
        `${result.longestPassMs} ms`,
      );
      console.log(entries, result);
      assert.ok(result.allSentAt < 5000);
    });
  }
});

describe("the share of an entry", () => {
  it("is what the group can take, divided among the entries", () => {
    for (const [entries, share] of [[1, 100], [10, 10]] as const) {
      const admission = new BacklogAdmission();
      admission.record(createReport());
      assert.equal(countAdmitted(admission, { entries }), share);
    }
  });

  it("does not count what the report includes a second time", () => {
    const admission = new BacklogAdmission();
    admission.record(createReport());
    assert.equal(countAdmitted(admission), 100);
    admission.record(createReport({ at: 200, ageMs: 195, load: 100 }));
    assert.equal(countAdmitted(admission, { now: 200 }), 0);
    admission.record(createReport({ at: 400, ageMs: 195, load: 150 }));
    assert.equal(countAdmitted(admission, { now: 400 }), 50);
  });

  // Guards against groups that stay half empty while few of many entries have requests.
  it("grows while the group gets less than it can take, and not after a pause", () => {
    const admission = new BacklogAdmission();
    const entries = 100;
    for (let at = 0; at <= 800; at += 200) {
      admission.record(createReport({ at }));
      countAdmitted(admission, { now: at, entries });
    }
    admission.record(createReport({ at: 1000 }));
    const grown = countAdmitted(admission, { now: 1000, entries });
    assert.ok(grown >= 20, `${grown} requests`);
    admission.record(createReport({ at: 4000 }));
    const anew = countAdmitted(admission, { now: 4000, entries });
    assert.ok(anew <= 1, `${anew} requests`);
  });

  it("is a part of the slots while nothing is known of the passes", () => {
    const admission = new BacklogAdmission();
    admission.record(createReport({ passMs: undefined, load: 0 }));
    const admitted = countAdmitted(admission);
    assert.ok(admitted >= 57 && admitted <= 58, `${admitted} of ${SLOTS}`);
  });

  it("leaves what is kept for arriving requests", () => {
    const admission = new BacklogAdmission();
    admission.record(createReport());
    assert.equal(countAdmitted(admission, { undeferredLoad: 130 }), 30);
  });

  it("is nothing while passes are longer than callers accept", () => {
    const admission = new BacklogAdmission();
    admission.record(createReport({ passMs: 150 }));
    assert.equal(countAdmitted(admission), 0);
  });

  it("is not limited when the decider stops reporting", () => {
    const admission = new BacklogAdmission();
    assert.equal(countAdmitted(admission), 1000);
    admission.record(createReport({ passMs: 150 }));
    assert.equal(countAdmitted(admission, { now: 2000 }), 1000);
  });
});
