/**
 * Guards against requests that are passed on when they can no longer end before the
 * process does, and against refusals of those that can.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ShutdownWindow } from "./shutdown_window.ts";

const END_AT = 8000;
const ANSWER_TIME = { wholeMs: 500, longestMs: 3000 };
const UNKNOWN = { wholeMs: 0, longestMs: 0 };
const LATE_DEADLINE = END_AT + 5000;

function createWindow({ isAccepting }: { readonly isAccepting: boolean }) {
  const window = new ShutdownWindow();
  window.plan(END_AT);
  if (!isAccepting) window.stopAccepting();
  return window;
}

describe("a process that does not shut down", () => {
  it("passes on all requests", () => {
    const window = new ShutdownWindow();
    const deadlineAt = 1e12;
    const request = { deadlineAt, answerTime: UNKNOWN, isRepeatable: false };
    assert.ok(window.mayPassOn(request, 1e9));
  });
});

describe("a process that shuts down and accepts requests", () => {
  const window = createWindow({ isAccepting: true });
  const mayPassOn = (now: number, answerTime = ANSWER_TIME) => {
    const deadlineAt = LATE_DEADLINE;
    const request = { deadlineAt, answerTime, isRepeatable: false };
    return window.mayPassOn(request, now);
  };

  it("passes on what usually ends", () => {
    assert.ok(mayPassOn(7500));
    assert.ok(!mayPassOn(7501));
  });

  it("passes on what nothing is known of", () => {
    assert.ok(mayPassOn(7999, UNKNOWN));
  });
});

describe("a process that shuts down and accepts no more requests", () => {
  const window = createWindow({ isAccepting: false });
  const mayPassOn = (
    isRepeatable: boolean,
    now: number,
    { answerTime } = { answerTime: ANSWER_TIME },
  ) => {
    const deadlineAt = LATE_DEADLINE;
    return window.mayPassOn({ deadlineAt, answerTime, isRepeatable }, now);
  };

  it("passes on what may not be repeated if it ends as one of the longest", () => {
    assert.ok(mayPassOn(false, 5000));
    assert.ok(!mayPassOn(false, 5001));
  });

  // Most of them are shorter than the longest, and their callers can repeat the others.
  it("passes on what may be repeated if it usually ends", () => {
    assert.ok(mayPassOn(true, 7500));
    assert.ok(!mayPassOn(true, 7501));
  });

  it("passes on nothing of which nothing is known", () => {
    for (const isRepeatable of [true, false]) {
      assert.ok(!mayPassOn(isRepeatable, 1000, { answerTime: UNKNOWN }));
    }
  });

  it("passes on what ends by its deadline", () => {
    const deadlineAt = END_AT;
    const request = { deadlineAt, answerTime: UNKNOWN, isRepeatable: false };
    assert.ok(window.mayPassOn(request, 7999));
  });
});
