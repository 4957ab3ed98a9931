import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  getMaxWaitMs,
  getRetryDelayMs,
  type RetryInput,
} from "./retry_delay.ts";

const DEADLINE_MS = 8000;
const OBJECTIVE_MS = 400;
/** Milliseconds from when all lost targets are listed again to the end of the outage. */
const FORMING_MS = 600;
/** Milliseconds after which a silent VM is known to be lost. */
const DETECTED_AFTER_MS = 3600;
/** Milliseconds between two requests of the load. */
const ARRIVAL_INTERVAL_MS = 20;

function createInput(changes: Partial<RetryInput> = {}): RetryInput {
  return {
    cause: "outage",
    isRepeated: false,
    leftMs: DEADLINE_MS,
    objectiveMs: OBJECTIVE_MS,
    ...changes,
  };
}

/** Whether refused callers honour the retry delay. */
type CallerKind = "honours" | "ignores";

interface OutageLoad {
  /** End of the outage that begins at 0. */
  readonly endsAt: number;
  /** When the loss is detected. */
  readonly detectedAt: number;
  /** Time of the last arrival; requests arrive from 0 on. */
  readonly untilMs: number;
  readonly callers: CallerKind;
  /** Start and end of a second outage, if there is one. */
  readonly second?: readonly [startsAt: number, endsAt: number];
}

function createLoad(
  endsAt: number,
  changes: Partial<OutageLoad> = {},
): OutageLoad {
  return {
    endsAt,
    untilMs: endsAt,
    detectedAt: DETECTED_AFTER_MS,
    callers: "honours",
    ...changes,
  };
}

/**
 * Returns the fraction of the requests that find the pool available at the first attempt,
 * at the retry, or while they wait.
 */
function simulateOutage(load: OutageLoad): number {
  let total = 0;
  let served = 0;
  for (
    let arrival = 0;
    arrival < load.untilMs;
    arrival += ARRIVAL_INTERVAL_MS
  ) {
    total++;
    if (isServed(load, arrival)) served++;
  }
  return served / total;
}

function isServed(load: OutageLoad, arrival: number): boolean {
  // Both the loss and the recovery of targets are detected with a delay.
  const isKnown = arrival >= load.detectedAt &&
    arrival < load.endsAt - FORMING_MS;
  const first = createInput({ cause: isKnown ? "outage" : "stall" });
  const firstWait = getMaxWaitMs(first);
  if (isAvailableWithin(load, arrival, firstWait)) return true;
  const refusedAt = arrival + firstWait;
  const delayMs = load.callers === "honours"
    ? getRetryDelayMs(createInput({ leftMs: DEADLINE_MS - firstWait }))
    : 0;
  const retriedAt = refusedAt + delayMs;
  const retry = createInput({
    isRepeated: true,
    leftMs: DEADLINE_MS - (retriedAt - arrival),
  });
  return isAvailableWithin(load, retriedAt, getMaxWaitMs(retry));
}

function isAvailableWithin(
  load: OutageLoad,
  from: number,
  forMs: number,
): boolean {
  for (let at = from; at <= from + forMs; at += 10) {
    if (!isDown(load, at)) return true;
  }
  return false;
}

function isDown({ endsAt, second }: OutageLoad, at: number): boolean {
  const isSecond = second !== undefined && at >= second[0] && at < second[1];
  return at < endsAt || isSecond;
}

describe("requests during an outage", () => {
  it("of six seconds are served except in its first part", () => {
    const load = createLoad(6000);
    // Up to 5.4 s before the end no caller that honours the delay can be served.
    assert.ok(simulateOutage(load) >= 0.9);
  });

  it("are lost in a longer first part if the loss is detected immediately", () => {
    const load = createLoad(6000, { detectedAt: 0 });
    // Up to 4.3 s before the end.
    assert.ok(simulateOutage(load) >= 0.71);
  });

  it("of any length are served if they arrive in its last five seconds", () => {
    for (const endsAt of [500, 2000, 3500, 5000]) {
      assert.equal(simulateOutage(createLoad(endsAt)), 1);
    }
  });

  it("are partly served if callers retry immediately", () => {
    const load = createLoad(6000, { callers: "ignores" });
    assert.ok(simulateOutage(load) >= 0.28);
  });

  it("are served through a second outage that is shorter than a wait", () => {
    const load = createLoad(3000, { second: [3500, 5000] });
    assert.equal(simulateOutage(load), 1);
  });

  it("are retried at the rate of their arrival", () => {
    const retries = [0, 1000, 2000].map((arrival) =>
      arrival + getRetryDelayMs(createInput())
    );
    assert.deepEqual(
      retries.slice(1).map((at, index) =>
        Math.round(at - (retries[index] ?? 0))
      ),
      [1000, 1000],
    );
  });
});

describe("requests that may be retried", () => {
  it("get no longer retry delay than callers honour", () => {
    for (const leftMs of [50, 400, 3000, DEADLINE_MS]) {
      for (const cause of ["outage", "absence", "overload"] as const) {
        const delayMs = getRetryDelayMs(
          createInput({ leftMs, cause }),
        );
        assert.ok(delayMs >= 0 && delayMs <= leftMs / 3);
      }
    }
  });

  it("wait no longer than their deadline", () => {
    const input = createInput({ isRepeated: true, leftMs: 300 });
    assert.equal(getMaxWaitMs(input), 300);
  });

  it("wait for a fifth of their objective on the first attempt at a full pool", () => {
    const input = createInput({ cause: "overload" });
    assert.equal(getMaxWaitMs(input), 80);
  });

  it("are refused immediately if only one target may run them", () => {
    for (const isRepeated of [true, false]) {
      const input = createInput({ cause: "owner_away", isRepeated });
      assert.equal(getMaxWaitMs(input), 0);
    }
  });
});
