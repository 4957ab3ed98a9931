import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import type { Message } from "../messages/types.ts";
import {
  createCallerRequest,
  createRoutes,
  type RouteLines,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";
import type { CallerRequest, EntryEffect } from "./types.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

class EntryFixture {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(1),
  });

  constructor(targets: readonly string[], lines: RouteLines = {}) {
    this.entry.reduce({
      kind: "settings_in_force",
      now: 0,
      routes: createRoutes(lines),
    });
    for (const name of targets) this.connect(name);
  }

  connect(name: string): void {
    this.entry.reduce({
      kind: "target_connected",
      now: 0,
      target: {
        name,
        incarnation: "1",
        failureDomain: "a",
        pool: "confirm",
        concurrency: 1,
      },
    });
  }

  request(
    changes: Partial<CallerRequest> = {},
    now = 0,
  ): readonly EntryEffect[] {
    const request = createCallerRequest(changes);
    return this.entry.reduce({ kind: "request_arrived", now, request });
  }

  receive(
    targetName: string,
    message: Message,
    now = 0,
  ): readonly EntryEffect[] {
    return this.entry.reduce({
      kind: "message_received",
      now,
      targetName,
      message,
    });
  }
}

function targetOf(effects: readonly EntryEffect[]): string {
  const send = effects.find((effect) => effect.kind === "send");
  assert.ok(send?.kind === "send", "Expected a message to a target");
  return send.targetName;
}

function problemOf(effects: readonly EntryEffect[]) {
  const refusal = effects.find((effect) => effect.kind === "refuse_request");
  assert.ok(refusal?.kind === "refuse_request", "Expected a refusal");
  return refusal.problem;
}

function kindsOf(effects: readonly EntryEffect[]): readonly string[] {
  // Log records are not compared here.
  return effects.map((effect) => effect.kind)
    .filter((kind) => kind !== "log_decision");
}

function head(attempt: number, length?: number): Message {
  return {
    kind: "answer_head",
    requestId: 1,
    attempt,
    sequence: 0,
    status: 200,
    headers: length === undefined ? [] : [["content-length", String(length)]],
  };
}

function data(attempt: number, sequence: number, text: string): Message {
  return {
    kind: "answer_data",
    requestId: 1,
    attempt,
    sequence,
    bytes: Buffer.from(text),
  };
}

function end(attempt: number, sequence: number, byteCount: number): Message {
  return {
    kind: "answer_end",
    requestId: 1,
    attempt,
    sequence,
    byteCount,
    queued: 0,
    running: 0,
  };
}

describe("entry reducer", () => {
  it("sends the caller no part of an earlier attempt's answer", () => {
    const fixture = new EntryFixture(["one", "two"]);
    const first = targetOf(fixture.request({ method: "GET" }));
    fixture.receive(first, head(1, 5));
    fixture.receive(first, data(1, 1, "fir"));
    const second = targetOf(fixture.entry.reduce({
      kind: "target_disconnected",
      now: 1,
      targetName: first,
    }));
    assert.notEqual(second, first);
    fixture.connect(first);
    for (const message of [head(1, 5), data(1, 1, "first"), end(1, 2, 5)]) {
      const effects = fixture.receive(first, message);
      assert.deepEqual(kindsOf(effects), ["count_stale_message"]);
    }
    // A message with the current attempt number, but from another target, is stale too.
    const crossed = fixture.receive(first, head(2, 5));
    assert.deepEqual(kindsOf(crossed), ["count_stale_message"]);
    fixture.receive(second, head(2, 6));
    fixture.receive(second, data(2, 1, "second"));
    const completed = fixture.receive(second, end(2, 2, 6));
    const answer = completed.find((effect) => effect.kind === "whole_answer");
    assert.ok(answer?.kind === "whole_answer");
    assert.equal(Buffer.concat(answer.body).toString(), "second");
  });

  it("refuses an answer with a gap or a wrong length as broken", () => {
    const rows: readonly (readonly Message[])[] = [
      [head(1, 5), data(1, 2, "hello")],
      [head(1, 5), data(1, 1, "hello"), end(1, 2, 4)],
      [head(1, 6), data(1, 1, "hello"), end(1, 2, 5)],
      [data(1, 0, "hello")],
      [end(1, 0, 0)],
    ];
    for (const messages of rows) {
      const fixture = new EntryFixture(["one"]);
      fixture.request();
      const effects = messages.flatMap((message) =>
        fixture.receive("one", message)
      );
      const problem = problemOf(effects);
      assert.equal(problem.reason, "ANSWER_BROKEN");
      assert.equal(problem.outcome, "unknown");
      assert.ok(kindsOf(effects).includes("send"), "Expected a cancel");
    }
  });

  it("aborts a broken stream instead of ending it", () => {
    const fixture = new EntryFixture(["one", "two"]);
    const target = targetOf(fixture.request({ method: "GET" }));
    const started = fixture.receive(target, head(1));
    assert.deepEqual(kindsOf(started), ["start_answer"]);
    fixture.receive(target, data(1, 1, "part"));
    const effects = fixture.entry.reduce({
      kind: "target_disconnected",
      now: 1,
      targetName: target,
    });
    assert.deepEqual(kindsOf(effects), ["count_refusal", "cut_answer"]);
  });

  it("refuses and cancels a request as soon as its deadline has passed", () => {
    const fixture = new EntryFixture(["one"]);
    fixture.request({ deadlineMs: 100 });
    assert.deepEqual(fixture.entry.reduce({ kind: "tick", now: 99 }), []);
    const effects = fixture.entry.reduce({ kind: "tick", now: 100 });
    assert.equal(problemOf(effects).reason, "DEADLINE");
    assert.equal(problemOf(effects).outcome, "unknown");
    assert.equal(targetOf(effects), "one");
  });

  it("cancels a request when its caller disconnects", () => {
    const fixture = new EntryFixture(["one"]);
    fixture.request();
    const effects = fixture.entry.reduce({
      kind: "caller_gone",
      now: 1,
      requestId: 1,
    });
    assert.deepEqual(kindsOf(effects), ["send"]);
    assert.equal(fixture.entry.inFlight, 0);
  });

  it("sends no new requests to a target that is leaving", () => {
    const fixture = new EntryFixture(["one", "two"]);
    fixture.receive("one", { kind: "leaving" });
    for (let id = 1; id <= 20; id++) {
      assert.equal(targetOf(fixture.request({ id })), "two");
    }
  });

  it("sends no new requests to a target that the platform lists as leaving", () => {
    const fixture = new EntryFixture(["one", "two"]);
    fixture.entry.reduce({
      kind: "machines_listed",
      now: 1,
      virtualMachines: [{
        name: "two",
        address: createSocketAddress("127.0.0.1:1"),
        role: "target",
        failureDomain: "a",
        pool: "confirm",
        state: "leaving",
      }],
    });
    for (let id = 1; id <= 20; id++) {
      assert.equal(targetOf(fixture.request({ id })), "one");
    }
  });

  it("keeps retries within their budget when all attempts fail", () => {
    const targets = ["one", "two", "three"];
    const fixture = new EntryFixture(targets, {
      service: ["retryShare: 0.1"],
      organisation: ["requestsPerSecond: 100000", "burst: 100000"],
    });
    let attempts = 0;
    const requests = 1000;
    for (let id = 1; id <= requests; id++) {
      let effects = fixture.request({ id, method: "GET" });
      while (effects.some((effect) => effect.kind === "send")) {
        attempts++;
        effects = fixture.receive(targetOf(effects), {
          kind: "refused",
          requestId: id,
          attempt: attemptOf(effects),
          reason: "BACK_END_FAILED",
          outcome: "unknown",
          submission: "unknown",
        });
      }
    }
    assert.ok(attempts <= requests * 1.1 + 2, `${attempts} attempts`);
    assert.ok(attempts > requests, "Expected some retries");
  });

  it("refuses requests without a route or with a large body, with reason and outcome", () => {
    const rows = [
      { path: "/elsewhere", reason: "NO_ROUTE" },
      { path: "/confirmations", reason: "NO_ROUTE" },
      { body: Buffer.alloc(101), reason: "BODY_TOO_LARGE" },
    ];
    for (const { reason, ...request } of rows) {
      const fixture = new EntryFixture(["one"], {
        service: ["largestBodyBytes: 100"],
      });
      const problem = problemOf(fixture.request(request));
      assert.equal(problem.reason, reason);
      assert.equal(problem.outcome, "not-run");
    }
  });

  it("limits organisations to their rate and concurrency", () => {
    const fixture = new EntryFixture(["one"], {
      organisation: ["requestsPerSecond: 1", "burst: 2", "concurrency: 1"],
    });
    fixture.request({ id: 1 });
    const busy = problemOf(fixture.request({ id: 2 }));
    assert.equal(busy.reason, "ORGANISATION_CONCURRENCY");
    fixture.entry.reduce({ kind: "caller_gone", now: 0, requestId: 1 });
    fixture.request({ id: 3 });
    fixture.entry.reduce({ kind: "caller_gone", now: 0, requestId: 3 });
    const fast = problemOf(fixture.request({ id: 4 }));
    assert.equal(fast.reason, "ORGANISATION_RATE");
    assert.equal(fast.retryAfterSeconds, 1);
    assert.deepEqual(kindsOf(fixture.request({ id: 5 }, 1000)), ["send"]);
  });

  it("refuses new requests while draining, and completes those in flight", () => {
    const fixture = new EntryFixture(["one"]);
    fixture.request();
    const drain = fixture.entry.reduce({ kind: "drain_requested", now: 1 });
    assert.deepEqual(drain, []);
    const refused = problemOf(fixture.request({ id: 2 }));
    assert.equal(refused.reason, "ENTRY_DRAINING");
    fixture.receive("one", head(1, 0));
    const ended = fixture.receive("one", end(1, 1, 0));
    assert.deepEqual(kindsOf(ended), ["whole_answer", "drained"]);
  });
});

function attemptOf(effects: readonly EntryEffect[]): number {
  const send = effects.find((effect) => effect.kind === "send");
  assert.ok(send?.kind === "send" && send.message.kind === "submit");
  return send.message.attempt;
}
