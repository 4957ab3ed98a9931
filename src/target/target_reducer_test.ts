import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { createSubmit } from "../testing/fixtures.ts";
import type { Message, RefusedMessage } from "../messages/types.ts";
import { TargetReducer } from "./target_reducer.ts";
import type { TargetEffect, TargetLimits } from "./types.ts";

const LINK = 1;
const LIMITS: TargetLimits = {
  concurrency: 1,
  queueLength: 2,
  ledgerLength: 10,
  keptAnswerBytes: 100,
  keptBytes: 1000,
  gatherMs: 20,
};

function createTarget(limits: Partial<TargetLimits> = {}): TargetReducer {
  const target = new TargetReducer({
    limits: { ...LIMITS, ...limits },
    now: 0,
  });
  target.reduce({ kind: "link_opened", now: 0, linkId: LINK });
  return target;
}

function receive(
  target: TargetReducer,
  message: Message,
  now = 0,
): readonly TargetEffect[] {
  return target.reduce({
    kind: "message_received",
    now,
    wallNow: now,
    linkId: LINK,
    message,
  });
}

function getRefusals(
  effects: readonly TargetEffect[],
): readonly RefusedMessage[] {
  return effects.flatMap((effect) =>
    effect.kind === "reply" && effect.message.kind === "refused"
      ? [effect.message]
      : []
  );
}

function getAnswerTexts(effects: readonly TargetEffect[]): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === "reply" && effect.message.kind === "answer_data"
      ? [Buffer.from(effect.message.bytes).toString()]
      : []
  );
}

function getStartedRequestIds(
  effects: readonly TargetEffect[],
): readonly number[] {
  return effects.flatMap((effect) =>
    effect.kind === "start_back_end" ? [effect.request.requestId] : []
  );
}

function hasEffect(effects: readonly TargetEffect[], kind: string): boolean {
  return effects.some((effect) => effect.kind === kind);
}

describe("target reducer", () => {
  it("reports a cancelled request as not run only if it was queued", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    receive(target, createSubmit({ requestId: 2 }));
    const runningEffects = receive(target, {
      kind: "cancel",
      requestId: 1,
      attempt: 1,
    });
    assert.deepEqual(getRefusals(runningEffects), []);
    assert.ok(hasEffect(runningEffects, "cancel_back_end"));
    const queuedEffects = receive(target, {
      kind: "cancel",
      requestId: 2,
      attempt: 1,
    });
    const [refusal] = getRefusals(queuedEffects);
    assert.equal(refusal?.reason, "CANCELLED");
    assert.equal(refusal?.submission, "not-run");
    assert.deepEqual(getStartedRequestIds(queuedEffects), []);
  });

  it("never starts a request that it reported as not run", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    receive(target, createSubmit({ requestId: 2, remainingMs: 50 }));
    const early = target.reduce({ kind: "tick", now: 49 });
    assert.deepEqual(getRefusals(early), []);
    const late = target.reduce({ kind: "tick", now: 50 });
    assert.equal(getRefusals(late)[0]?.reason, "DEADLINE_BEFORE_START");
    const ended = target.reduce({ kind: "back_end_end", now: 70, runId: 1 });
    assert.deepEqual(getStartedRequestIds(ended), []);
  });

  // Guards against refusals of requests that would still be answered, and against runs
  // that end after the deadline and only delay others.
  it("refuses a request once it would start too late to finish in time", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    // Runs of the service are known to take 100 ms, and up to 300 ms.
    target.reduce({ kind: "back_end_end", now: 100, runId: 1 });
    receive(target, createSubmit({ requestId: 2 }));
    receive(target, createSubmit({ requestId: 3, remainingMs: 900 }));
    const early = target.reduce({ kind: "tick", now: 599 });
    assert.deepEqual(getRefusals(early), []);
    const late = target.reduce({ kind: "tick", now: 600 });
    assert.equal(getRefusals(late)[0]?.reason, "DEADLINE_BEFORE_START");
  });

  // Guards against refusals by an idle target because other runs took longer.
  it("starts a request at once if it can, however little time it has", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    target.reduce({ kind: "back_end_end", now: 100, runId: 1 });
    const submit = createSubmit({ requestId: 2, remainingMs: 50 });
    const effects = receive(target, submit, 100);
    assert.deepEqual(getStartedRequestIds(effects), [2]);
  });

  it("ignores messages of a lost connection", () => {
    const target = createTarget();
    target.reduce({ kind: "link_closed", now: 0, linkId: LINK });
    assert.deepEqual(getStartedRequestIds(receive(target, createSubmit())), []);
  });

  it("drops queued requests of a lost entry and cancels running ones", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    receive(target, createSubmit({ requestId: 2 }));
    const lost = target.reduce({ kind: "link_closed", now: 0, linkId: LINK });
    assert.ok(hasEffect(lost, "cancel_back_end"));
    assert.equal(target.queued, 0);
  });

  it("reports a request as not run if the back end was not reached", () => {
    const target = createTarget();
    receive(target, createSubmit());
    const failed = target.reduce({
      kind: "back_end_failed",
      now: 1,
      runId: 1,
      failure: "not_begun",
    });
    assert.equal(getRefusals(failed)[0]?.submission, "not-run");
  });

  it("refuses new requests while draining, and finishes its own", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    receive(target, createSubmit({ requestId: 2 }));
    const drain = target.reduce({ kind: "drain_requested", now: 1 });
    assert.ok(hasEffect(drain, "broadcast"));
    assert.ok(!hasEffect(drain, "drained"));
    const refused = receive(target, createSubmit({ requestId: 3 }), 1);
    assert.equal(getRefusals(refused)[0]?.reason, "TARGET_LEAVING");
    const first = target.reduce({ kind: "back_end_end", now: 2, runId: 1 });
    assert.deepEqual(getStartedRequestIds(first), [2]);
    const second = target.reduce({ kind: "back_end_end", now: 3, runId: 2 });
    assert.ok(hasEffect(second, "drained"));
  });

  it("leaves when the VM list or the settings require it, and can return", () => {
    const target = createTarget();
    const leavingEffects = target.reduce({
      kind: "leaving_set",
      now: 1,
      isLeaving: true,
    });
    assert.deepEqual(leavingEffects, [
      { kind: "broadcast", message: { kind: "leaving" } },
    ]);
    const refused = receive(target, createSubmit(), 1);
    assert.equal(getRefusals(refused)[0]?.reason, "TARGET_LEAVING");
    const servingEffects = target.reduce({
      kind: "leaving_set",
      now: 2,
      isLeaving: false,
    });
    assert.deepEqual(servingEffects, [
      { kind: "broadcast", message: { kind: "serving" } },
    ]);
    assert.deepEqual(getStartedRequestIds(receive(target, createSubmit(), 2)), [
      1,
    ]);
  });

  it("informs a new entry immediately that it is leaving", () => {
    const target = createTarget();
    target.reduce({ kind: "drain_requested", now: 1 });
    const effects = target.reduce({ kind: "link_opened", now: 2, linkId: 2 });
    assert.ok(
      effects.some((effect) =>
        effect.kind === "reply" && effect.message.kind === "leaving"
      ),
    );
  });

  it("bounds its queue at the cost of the organisation that fills it", () => {
    const target = createTarget();
    receive(target, createSubmit({ requestId: 1 }));
    receive(target, createSubmit({ requestId: 2, organisation: "flood" }));
    receive(target, createSubmit({ requestId: 3, organisation: "flood" }));
    const effects = receive(
      target,
      createSubmit({ requestId: 4, organisation: "other" }),
    );
    const [refusal] = getRefusals(effects);
    assert.equal(refusal?.reason, "QUEUE_FULL");
    assert.equal(refusal?.requestId, 3);
  });

  it("sends the first token immediately and gathers later ones", () => {
    const target = createTarget();
    receive(target, createSubmit());
    const firstRun = { runId: 1, now: 0 };
    target.reduce({
      kind: "back_end_head",
      ...firstRun,
      status: 200,
      headers: [],
    });
    const token = (text: string, now: number) =>
      target.reduce({
        kind: "back_end_data",
        runId: 1,
        now,
        bytes: Buffer.from(text),
      });
    assert.deepEqual(getAnswerTexts(token("a", 100)), ["a"]);
    assert.deepEqual(getAnswerTexts(token("b", 105)), []);
    assert.deepEqual(getAnswerTexts(token("c", 110)), []);
    assert.deepEqual(
      getAnswerTexts(target.reduce({ kind: "tick", now: 115 })),
      [],
    );
    assert.deepEqual(
      getAnswerTexts(target.reduce({ kind: "tick", now: 120 })),
      [
        "bc",
      ],
    );
    assert.deepEqual(getAnswerTexts(token("d", 125)), []);
    const ended = target.reduce({ kind: "back_end_end", runId: 1, now: 126 });
    assert.deepEqual(getAnswerTexts(ended), ["d"]);
  });

  it("requests confirmation of its claims after a stall", () => {
    const target = createTarget();
    target.reduce({ kind: "tick", now: 5000 });
    assert.ok(
      !hasEffect(target.reduce({ kind: "tick", now: 9000 }), "confirm_claims"),
    );
    assert.ok(
      hasEffect(target.reduce({ kind: "tick", now: 20_000 }), "confirm_claims"),
    );
  });
});

describe("a target whose back end requests a backoff", () => {
  /** Answers the first request with status 503 and a backoff of three seconds. */
  function requestBackoff(target: TargetReducer): readonly TargetEffect[] {
    receive(target, createSubmit({ requestId: 1 }));
    return target.reduce({
      kind: "back_end_head",
      now: 100,
      runId: 1,
      status: 503,
      headers: [["retry-after", "3"]],
    });
  }

  // Guards against a target that continues to send requests during the backoff.
  it("starts no request during the backoff and refuses new ones", () => {
    const target = createTarget();
    const effects = requestBackoff(target);
    assert.ok(
      effects.some((effect) =>
        effect.kind === "reply" && effect.message.kind === "answer_head" &&
        effect.message.notice?.backoff.kind === "backoff"
      ),
    );
    const [refusal] = getRefusals(
      receive(target, createSubmit({ requestId: 3 }), 1100),
    );
    assert.equal(refusal?.reason, "TARGET_WITHHELD");
    assert.equal(refusal?.submission, "not-run");
    assert.deepEqual(refusal?.notice?.backoff, {
      kind: "backoff",
      milliseconds: 2000,
    });
  });

  it("starts requests again after the backoff", () => {
    const target = createTarget();
    requestBackoff(target);
    target.reduce({ kind: "back_end_end", now: 110, runId: 1 });
    const later = receive(target, createSubmit({ requestId: 4 }), 3100);
    assert.deepEqual(getStartedRequestIds(later), [4]);
  });
});
