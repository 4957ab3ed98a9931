import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LateAdmission, type LateRequest } from "./late_admission.ts";

const PAUSE_OBJECTIVE_MS = 120;
const ENTRIES = 9;
/** Milliseconds between two reports of the decider. */
const REPORT_INTERVAL_MS = 200;
/** Late requests that wait as the group opens, over all entries. */
const WAITING = 250;
/** New requests a second, over all entries. */
const NEW_PER_SECOND = 50;
/** Chunks of one answer, one in each pass. */
const CHUNKS = 28;
/** Milliseconds of a pass without requests, and the increase by each running request. */
const EMPTY_PASS_MS = 30;
const PASS_MS_PER_REQUEST = 0.35;

/** Whether a request that has just arrived may be sent. */
function mayAdmitAt(admission: LateAdmission, now: number): boolean {
  return admission.mayAdmit(PAUSE_OBJECTIVE_MS, {
    now,
    waitedMs: 0,
    hasFreeSlot: true,
  });
}

/** Returns the longest pass within three seconds after a lost group opens. */
function simulateOpening(isLimited: boolean): number {
  const admissions = Array.from({ length: ENTRIES }, () => new LateAdmission());
  let waiting = WAITING;
  let longestPassMs = 0;
  let nextReportAt = 0;
  let passMs: number | undefined;
  let running: number[] = [];
  let pendingNew = 0;
  for (let now = 0; now < 3000;) {
    if (now >= nextReportAt) {
      for (const admission of admissions) admission.record({ passMs, at: now });
      nextReportAt += REPORT_INTERVAL_MS;
    }
    for (const admission of admissions) {
      while (waiting > 0) {
        if (isLimited && !mayAdmitAt(admission, now)) break;
        admission.recordAdmitted();
        waiting--;
        running.push(CHUNKS);
      }
    }
    const tookMs = EMPTY_PASS_MS + PASS_MS_PER_REQUEST * running.length;
    passMs = tookMs;
    longestPassMs = Math.max(longestPassMs, tookMs);
    now += tookMs;
    pendingNew += tookMs * NEW_PER_SECOND / 1000;
    running = running.map((remaining) => remaining - 1).filter((remaining) =>
      remaining > 0
    );
    for (; pendingNew >= 1; pendingNew--) running.push(CHUNKS);
  }
  return longestPassMs;
}

describe("late requests at a group that opens", () => {
  it("make passes too long when all are sent at once", () => {
    assert.ok(simulateOpening(false) > PAUSE_OBJECTIVE_MS);
  });

  it("keep passes short when limited by the reported pass time", () => {
    assert.ok(simulateOpening(true) <= PAUSE_OBJECTIVE_MS);
  });

  it("are admitted one at a time while the pass time is unknown", () => {
    const admission = new LateAdmission();
    admission.record({ passMs: undefined, at: 0 });
    assert.equal(mayAdmitAt(admission, 0), true);
    admission.recordAdmitted();
    assert.equal(mayAdmitAt(admission, 0), false);
  });

  it("are not limited when the decider stops reporting", () => {
    const admission = new LateAdmission();
    assert.equal(mayAdmitAt(admission, 0), true);
    admission.record({ passMs: 200, at: 0 });
    assert.equal(mayAdmitAt(admission, 100), false);
    assert.equal(mayAdmitAt(admission, 2000), true);
  });

  /**
   * Guards against unanswered requests after a group has formed: with its first map,
   * passes stay long for longer than callers wait, while half of the slots are free.
   */
  it("are admitted before their callers give up, even if passes are long", () => {
    const admission = new LateAdmission();
    admission.record({ passMs: 100, at: 0 });
    const mayAdmitAfter = (waitedMs: number, hasFreeSlot: boolean) =>
      admission.mayAdmit(PAUSE_OBJECTIVE_MS, {
        now: 100,
        waitedMs,
        hasFreeSlot,
      });
    assert.equal(mayAdmitAfter(1000, true), false);
    assert.equal(mayAdmitAfter(1400, true), true);
    // The caller would give up before a slot becomes free.
    assert.equal(mayAdmitAfter(1400, false), false);
  });

  /**
   * Guards against overload while the decider is frozen and popularity changes: passes
   * are too long for seconds, and each further request leaves others unanswered.
   */
  it("are not admitted as a last chance if passes exceed the tolerated pause", () => {
    const admission = new LateAdmission();
    admission.record({ passMs: 150, at: 0 });
    const request: LateRequest = {
      now: 100,
      waitedMs: 1400,
      hasFreeSlot: true,
    };
    assert.equal(admission.mayAdmit(PAUSE_OBJECTIVE_MS, request), false);
  });
});
