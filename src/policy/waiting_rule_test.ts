import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type CallerPatience,
  getLatestStartAt,
  getRetryDelayMs,
  tryGetWaitEndAt,
  type UnservedRequest,
} from "./waiting_rule.ts";

const DEADLINE_MS = 8000;
const SILENCE_LIMIT_MS = 2000;
const ANSWER_TIME = { firstChunkMs: 200, wholeMs: 1500 };
/** Milliseconds for which a stream whose service is known may wait from its arrival. */
const STREAM_WAIT_MS = 1740;
/** Milliseconds from when all lost ranks are listed again to the end of the outage. */
const FORMING_MS = 600;
/** Milliseconds between two requests of the load. */
const ARRIVAL_INTERVAL_MS = 20;

/** The caller that is told to return last of those that are refused at 0. */
const LAST_AT_ZERO = { now: 0, spreadFraction: 0 };

function createPatience(
  changes: Partial<CallerPatience> = {},
): CallerPatience {
  return {
    arrivedAt: 0,
    deadlineAt: DEADLINE_MS,
    silenceLimitMs: SILENCE_LIMIT_MS,
    ...changes,
  };
}

function createUnserved(
  changes: Partial<UnservedRequest> = {},
): UnservedRequest {
  return {
    cause: "outage",
    patience: createPatience(),
    answerTime: ANSWER_TIME,
    ...changes,
  };
}

interface OutageLoad {
  /** End of the outage that begins at 0. */
  readonly endsAt: number;
  /** When it is known that a rank is lost; never by default. */
  readonly knownAt?: number;
  /** Number of times that a refused caller retries. */
  readonly retries: number;
  /** Whether refused callers honour the retry delay; otherwise they retry at once. */
  readonly honoursDelay?: boolean;
  /** Start and end of a second outage, if there is one. */
  readonly second?: readonly [startsAt: number, endsAt: number];
}

/** Returns the fraction of the requests that arrive in the first outage and are served. */
function simulateOutage(load: OutageLoad): number {
  let total = 0;
  let served = 0;
  for (let at = 0; at < load.endsAt; at += ARRIVAL_INTERVAL_MS) {
    total++;
    if (isServed(load, at)) served++;
  }
  return served / total;
}

function isServed(load: OutageLoad, firstArrivedAt: number): boolean {
  const deadlineAt = firstArrivedAt + DEADLINE_MS;
  let arrivedAt = firstArrivedAt;
  for (let attempt = 0; attempt <= load.retries; attempt++) {
    const patience = createPatience({ arrivedAt, deadlineAt });
    const unserved = createUnserved({
      cause: isKnownAt(load, arrivedAt) ? "outage" : "stall",
      patience,
    });
    const waitEndAt = tryGetWaitEndAt(unserved, arrivedAt) ?? arrivedAt;
    if (isAvailableWithin(load, arrivedAt, waitEndAt)) return true;
    const delayMs = load.honoursDelay === false
      ? 0
      : getRetryDelayMs(unserved, { now: waitEndAt, spreadFraction: 0 });
    arrivedAt = waitEndAt + delayMs;
  }
  return false;
}

/** The lost rank is listed again some time before its group has formed. */
function isKnownAt({ knownAt = Infinity, endsAt }: OutageLoad, at: number) {
  return at >= knownAt && at < endsAt - FORMING_MS;
}

function isAvailableWithin(
  load: OutageLoad,
  from: number,
  until: number,
): boolean {
  for (let at = from; at <= until; at += 10) {
    if (!isDown(load, at)) return true;
  }
  return false;
}

function isDown({ endsAt, second }: OutageLoad, at: number): boolean {
  const isSecond = second !== undefined && at >= second[0] && at < second[1];
  return at < endsAt || isSecond;
}

describe("requests during an outage", () => {
  it("of any length are served if they arrive in its last five seconds", () => {
    for (const endsAt of [500, 2000, 3500, 5000]) {
      assert.equal(simulateOutage({ endsAt, retries: 1 }), 1);
    }
  });

  it("of six seconds are served except in its first part if callers retry once", () => {
    assert.ok(simulateOutage({ endsAt: 6000, retries: 1 }) >= 0.9);
  });

  it("of six seconds are all served if callers retry twice", () => {
    assert.equal(simulateOutage({ endsAt: 6000, retries: 2 }), 1);
  });

  it("are served in its last part if its cause is known and callers retry once", () => {
    // Up to 2.6 s and the time of forming before its end, and in the last one.
    const load = { endsAt: 6000, retries: 1, knownAt: 0 };
    assert.ok(simulateOutage(load) >= 0.53, `${simulateOutage(load)}`);
  });

  it("are partly served if callers retry immediately", () => {
    const load = { endsAt: 6000, retries: 1, honoursDelay: false };
    assert.ok(simulateOutage(load) >= 0.55);
  });

  it("are served through a second outage that is shorter than a wait", () => {
    const second = [3500, 5000] as const;
    assert.equal(simulateOutage({ endsAt: 3000, retries: 1, second }), 1);
  });
});

describe("the latest start of a request", () => {
  it("leaves time for the first chunk before a silent caller leaves", () => {
    assert.equal(
      getLatestStartAt(createPatience(), ANSWER_TIME),
      STREAM_WAIT_MS,
    );
  });

  it("leaves time for the whole answer before the deadline", () => {
    const patience = createPatience({ deadlineAt: 2500 });
    assert.equal(getLatestStartAt(patience, ANSWER_TIME), 940);
  });

  it("follows the deadline alone if callers bear any silence", () => {
    const patience = createPatience({ silenceLimitMs: undefined });
    assert.equal(getLatestStartAt(patience, ANSWER_TIME), 6440);
  });

  it("is later for callers that bear a longer silence", () => {
    const patience = createPatience({ silenceLimitMs: 4000 });
    assert.equal(getLatestStartAt(patience, ANSWER_TIME), 3740);
  });
});

describe("requests without a target", () => {
  // Guards against refusals of requests that could still be answered.
  it("wait as long as their callers can be answered, whatever the cause", () => {
    for (
      const cause of ["unreachable", "stall", "absence", "overload"] as const
    ) {
      const unserved = createUnserved({ cause });
      assert.equal(tryGetWaitEndAt(unserved, 0), STREAM_WAIT_MS);
      assert.equal(tryGetWaitEndAt(unserved, STREAM_WAIT_MS), undefined);
    }
  });

  // Guards against places that are taken until an end that the caller can be told.
  it("are refused immediately if it is known when a target is available", () => {
    const createBackoff = (freeInMs: number) =>
      createUnserved({ cause: "backoff", freeInMs });
    assert.equal(tryGetWaitEndAt(createBackoff(1000), 0), undefined);
    assert.equal(getRetryDelayMs(createBackoff(1000), LAST_AT_ZERO), 1000);
    // The caller could not be back by then.
    assert.equal(tryGetWaitEndAt(createBackoff(50), 0), STREAM_WAIT_MS);
  });

  it("are refused immediately if the cause is known to last", () => {
    for (
      const cause of ["outage", "owner_away", "drain", "refusal"] as const
    ) {
      assert.equal(tryGetWaitEndAt(createUnserved({ cause }), 0), undefined);
    }
  });

  // Guards against a crowd of callers that were refused at the same moment.
  it("get retry delays that are spread", () => {
    for (const cause of ["outage", "drain", "overload"] as const) {
      const [last = 0, first = 0] = [0, 1].map((spreadFraction) =>
        getRetryDelayMs(createUnserved({ cause }), { now: 0, spreadFraction })
      );
      assert.equal(first / last, 0.75);
    }
  });

  it("get no longer retry delay than callers honour", () => {
    for (const deadlineAt of [50, 400, 3000, DEADLINE_MS]) {
      for (const cause of ["outage", "absence", "overload"] as const) {
        const patience = createPatience({ deadlineAt });
        const unserved = createUnserved({ cause, patience });
        const delayMs = getRetryDelayMs(unserved, LAST_AT_ZERO);
        assert.ok(delayMs >= 0 && delayMs <= deadlineAt / 3);
      }
    }
  });
});
