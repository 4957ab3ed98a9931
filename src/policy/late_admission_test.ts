import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LateAdmission } from "./late_admission.ts";

const PAUSE_OBJECTIVE_MS = 120;
const ENTRIES = 9;
/** Milliseconds between two words of the decider. */
const WORD_MS = 200;
/** Late requests that wait at the opening, over all entries. */
const WAITING = 250;
/** New requests a second, over all entries. */
const NEW_PER_SECOND = 50;
/** Pieces of one answer, one a pass. */
const PIECES = 28;
/** Milliseconds of a pass without requests, and for each one that runs. */
const EMPTY_PASS_MS = 30;
const PASS_MS_PER_REQUEST = 0.35;

/** Whether one that has just come may be sent. */
function isOpenAt(admission: LateAdmission, now: number): boolean {
  return admission.isOpen(PAUSE_OBJECTIVE_MS, {
    now,
    waitedMs: 0,
    hasFreePlace: true,
  });
}

/** Longest pass within three seconds from the opening of a lost group. */
function playOpening(isLimited: boolean): number {
  const admissions = Array.from({ length: ENTRIES }, () => new LateAdmission());
  let waiting = WAITING;
  let longestPassMs = 0;
  let nextWordAt = 0;
  let passMs: number | undefined;
  let running: number[] = [];
  let fresh = 0;
  for (let now = 0; now < 3000;) {
    if (now >= nextWordAt) {
      for (const admission of admissions) admission.note({ passMs, at: now });
      nextWordAt += WORD_MS;
    }
    for (const admission of admissions) {
      while (waiting > 0) {
        if (isLimited && !isOpenAt(admission, now)) break;
        admission.count();
        waiting--;
        running.push(PIECES);
      }
    }
    const tookMs = EMPTY_PASS_MS + PASS_MS_PER_REQUEST * running.length;
    passMs = tookMs;
    longestPassMs = Math.max(longestPassMs, tookMs);
    now += tookMs;
    fresh += tookMs * NEW_PER_SECOND / 1000;
    running = running.map((left) => left - 1).filter((left) => left > 0);
    for (; fresh >= 1; fresh--) running.push(PIECES);
  }
  return longestPassMs;
}

describe("late requests at a group that opens", () => {
  it("make its passes too long when all are sent at once", () => {
    assert.ok(playOpening(false) > PAUSE_OBJECTIVE_MS);
  });

  it("leave passes short when they follow the word on passes", () => {
    assert.ok(playOpening(true) <= PAUSE_OBJECTIVE_MS);
  });

  it("are sent one by one while nothing is known of passes", () => {
    const admission = new LateAdmission();
    admission.note({ passMs: undefined, at: 0 });
    assert.equal(isOpenAt(admission, 0), true);
    admission.count();
    assert.equal(isOpenAt(admission, 0), false);
  });

  it("are held back by nothing when the decider is not heard", () => {
    const admission = new LateAdmission();
    assert.equal(isOpenAt(admission, 0), true);
    admission.note({ passMs: 200, at: 0 });
    assert.equal(isOpenAt(admission, 100), false);
    assert.equal(isOpenAt(admission, 2000), true);
  });

  /**
   * The pattern: with the first map of a group that has just formed passes stay long for
   * longer than callers bear silence, while half of the places are free.
   */
  it("are let in before their callers leave, though passes are long", () => {
    const admission = new LateAdmission();
    admission.note({ passMs: 100, at: 0 });
    const isOpenAfter = (waitedMs: number, hasFreePlace: boolean) =>
      admission.isOpen(PAUSE_OBJECTIVE_MS, {
        now: 100,
        waitedMs,
        hasFreePlace,
      });
    assert.equal(isOpenAfter(1000, true), false);
    assert.equal(isOpenAfter(1400, true), true);
    // Its caller would leave before the place is free.
    assert.equal(isOpenAfter(1400, false), false);
  });

  /**
   * The pattern: a decider stands still while popularity changes, passes are too long for
   * seconds, and each request that is added has others meet the end of their callers'
   * patience.
   */
  it("are not let in besides where passes are longer than callers bear", () => {
    const admission = new LateAdmission();
    admission.note({ passMs: 150, at: 0 });
    const late = { now: 100, waitedMs: 1400, hasFreePlace: true };
    assert.equal(admission.isOpen(PAUSE_OBJECTIVE_MS, late), false);
  });
});
