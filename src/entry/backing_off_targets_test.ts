/**
 * Guards against sending requests to an overloaded target that requested a backoff from
 * the entry. Requests can reach a target as first attempts, retries, resumed streams,
 * after a wait, as requests of a key that it owns, by a permit, as probes, or over a
 * connection that took long to establish.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { getKeyFingerprint, getKeySlot } from "../core/idempotency_key.ts";
import { RandomSource } from "../core/random_source.ts";
import type { AttemptMessage, SubmitMessage } from "../messages/types.ts";
import {
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createNotice,
  createRefused,
  createRoutes,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";
import type { CallerRequest, EntryEffect, EntryEvent } from "./types.ts";

const BACKOFF_MS = 3000;
const REQUESTS = 40;
const SERVICE = [
  "resumable: true",
  "idempotentMethods: [POST]",
  "retryShare: 1",
  "objectiveMs: 400",
  "defaultDeadlineMs: 8000",
];

interface Sent {
  readonly target: string;
  readonly message: SubmitMessage;
}

/** One entry with a list of targets. */
class BackoffFixture {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    entryName: "entry-0",
    random: new RandomSource(7),
  });
  readonly #names: readonly string[];
  #requests = 0;

  constructor(names: readonly string[] = ["one", "two", "three"]) {
    this.#names = names;
    const routes = createRoutes({ service: SERVICE });
    this.reduce({ kind: "settings_in_force", now: 0, routes });
    this.list(names, 0);
  }

  reduce(event: EntryEvent): readonly EntryEffect[] {
    return this.entry.reduce(event);
  }

  list(names: readonly string[], now: number): void {
    const instances = names.map((name) => createInstance(name));
    this.reduce({ kind: "instances_listed", now, instances });
  }

  request(
    now: number,
    changes: Partial<CallerRequest> = {},
  ): readonly EntryEffect[] {
    const request = createCallerRequest({ id: ++this.#requests, ...changes });
    return this.reduce({ kind: "request_arrived", now, request });
  }

  /** Sends requests until one goes to the target. */
  sendTo(target: string, now: number): SubmitMessage {
    for (let call = 0; call < 100; call++) {
      const [sent] = sentOf(this.request(now));
      if (sent?.target === target) return sent.message;
    }
    throw new Error(`No request went to ${target}`);
  }

  /** Has the target refuse a request and request a backoff. */
  requestBackoff(
    target: string,
    now: number,
    milliseconds = BACKOFF_MS,
  ): readonly EntryEffect[] {
    return this.#refuse(target, this.sendTo(target, now), now, milliseconds);
  }

  /** Has each target refuse a request and request a backoff. */
  requestBackoffFromAll(now: number): void {
    const sent = this.#names.map((target) =>
      [target, this.sendTo(target, now)] as const
    );
    for (const [target, submit] of sent) {
      this.#refuse(target, submit, now, BACKOFF_MS);
    }
  }

  receive(
    target: string,
    message: AttemptMessage,
    now: number,
  ): readonly EntryEffect[] {
    const event = { kind: "message_received", targetName: target } as const;
    return this.reduce({ ...event, now, message });
  }

  /**
   * Returns the targets that several requests are sent to, each once, in alphabetical
   * order.
   */
  targetsOfRequests(now: number): string {
    const effects = Array.from({ length: REQUESTS }, () => this.request(now));
    return targetsOf(effects.flat());
  }

  #refuse(
    target: string,
    submit: SubmitMessage,
    now: number,
    milliseconds: number,
  ): readonly EntryEffect[] {
    const backoff = { kind: "backoff", milliseconds } as const;
    const message = {
      ...createRefused(submit, "BACK_END_FULL"),
      notice: createNotice({ backoff }),
    };
    return this.receive(target, message, now);
  }
}

function sentOf(effects: readonly EntryEffect[]): readonly Sent[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "submit"
      ? [{ target: effect.targetName, message: effect.message }]
      : []
  );
}

function targetsOf(effects: readonly EntryEffect[]): string {
  const names = sentOf(effects).map(({ target }) => target);
  return [...new Set(names)].sort().join(" ");
}

function refusalOf(effects: readonly EntryEffect[]) {
  for (const effect of effects) {
    if (effect.kind === "refuse_request") return effect.problem;
  }
  return undefined;
}

describe("a target that requested a backoff", () => {
  it("gets neither first attempts nor retries until the backoff ends", () => {
    const fixture = new BackoffFixture();
    const effects = fixture.requestBackoff("one", 0);
    assert.notEqual(targetsOf(effects), "one");
    assert.equal(fixture.targetsOfRequests(10), "three two");
    assert.equal(fixture.targetsOfRequests(BACKOFF_MS - 1), "three two");
    assert.equal(fixture.targetsOfRequests(2 * BACKOFF_MS), "one three two");
  });

  it("gets no requests even if it is missing from one list in between", () => {
    const fixture = new BackoffFixture();
    fixture.requestBackoff("one", 0);
    fixture.list(["two", "three"], 100);
    fixture.list(["one", "two", "three"], 200);
    assert.equal(fixture.targetsOfRequests(300), "three two");
  });

  it("does not count as failed because of the backoff", () => {
    const fixture = new BackoffFixture();
    fixture.requestBackoff("one", 0);
    assert.equal(fixture.entry.registry.tryGet("one")?.failureShare, 0);
  });

  it("gets its load back gradually", () => {
    const fixture = new BackoffFixture(["one", "two"]);
    fixture.requestBackoff("one", 0);
    const countAt = (now: number) =>
      Array.from({ length: 200 }, () => sentOf(fixture.request(now)))
        .flat().filter(({ target }) => target === "one").length;
    const early = countAt(BACKOFF_MS + 100);
    assert.ok(early < 20, `${early} of 200 requests`);
  });

  it("does not get a stream that is resumed after its target failed", () => {
    const fixture = new BackoffFixture(["one", "two", "three"]);
    const submit = fixture.sendTo("two", 0);
    fixture.requestBackoff("one", 0);
    const headers = [["content-type", "text/event-stream"]] as const;
    const head = { kind: "answer_head", sequence: 0, status: 200 } as const;
    fixture.receive("two", { ...head, ...attemptOf(submit), headers }, 10);
    const bytes = Buffer.from("id: 1\ndata: x\n\n");
    const data = { kind: "answer_data", sequence: 1, bytes } as const;
    fixture.receive("two", { ...data, ...attemptOf(submit) }, 10);
    const broken = createRefused(submit, "BACK_END_FAILED");
    assert.equal(targetsOf(fixture.receive("two", broken, 20)), "three");
  });

  it("gets no retry of a request that another target answered with an error", () => {
    const fixture = new BackoffFixture(["one", "two"]);
    const submit = fixture.sendTo("two", 0);
    fixture.requestBackoff("one", 0);
    const [head, end] = createEmptyAnswer(submit) as [
      AttemptMessage,
      AttemptMessage,
    ];
    fixture.receive("two", { ...head, status: 500 } as AttemptMessage, 10);
    const effects = fixture.receive("two", end, 10);
    assert.equal(targetsOf(effects), "");
    assert.ok(
      effects.some((effect) =>
        effect.kind === "whole_answer" && effect.status === 500
      ),
    );
  });

  it("does not get requests whose idempotency key it owns", () => {
    const fixture = new BackoffFixture(["one"]);
    const idempotencyKey = "key";
    const service = "/organisations/andamaq/services/confirm";
    const slot = getKeySlot(
      getKeyFingerprint({ organisation: "andamaq", service, idempotencyKey }),
    );
    fixture.reduce({
      kind: "message_received",
      now: 0,
      targetName: "one",
      message: { kind: "claims", version: 1, slotCount: 64, slots: [slot] },
    });
    assert.equal(targetsOf(fixture.request(0, { idempotencyKey })), "one");
    fixture.requestBackoff("one", 0);
    const refusal = refusalOf(fixture.request(10, { idempotencyKey }));
    assert.equal(refusal?.reason, "TARGETS_BACKING_OFF");
  });

  it("is not sent a request that was assigned to it before", () => {
    const fixture = new BackoffFixture();
    assert.ok(fixture.entry.mayBegin("one", 0));
    fixture.requestBackoff("one", 0);
    assert.ok(!fixture.entry.mayBegin("one", 10));
    assert.ok(fixture.entry.mayBegin("two", 10));
    assert.ok(fixture.entry.mayBegin("one", BACKOFF_MS));
  });

  it("has a request that was assigned to it before sent to another target", () => {
    const fixture = new BackoffFixture(["one", "two"]);
    const submit = fixture.sendTo("one", 0);
    fixture.requestBackoff("one", 0);
    const withheld = createRefused(submit, "TARGET_WITHHELD");
    assert.equal(targetsOf(fixture.receive("one", withheld, 600)), "two");
  });

  it("gets no request by a permit, and none to learn its current limit", () => {
    const fixture = new BackoffFixture(["one"]);
    const entries = ["entry-0"];
    fixture.reduce({ kind: "entries_listed", now: 0, entries });
    fixture.reduce({
      kind: "limits_told",
      now: 0,
      limits: [{ target: "one", perSecond: 5, version: 1, heardAt: 0 }],
    });
    fixture.requestBackoff("one", 6000);
    assert.equal(fixture.targetsOfRequests(8000), "");
  });
});

describe("targets that all requested a backoff", () => {
  it("get no requests, and callers are refused immediately with a retry delay", () => {
    const fixture = new BackoffFixture(["one", "two"]);
    fixture.requestBackoffFromAll(0);
    const effects = fixture.request(1000);
    const refusal = refusalOf(effects);
    assert.equal(targetsOf(effects), "");
    assert.equal(refusal?.reason, "TARGETS_BACKING_OFF");
    const seconds = refusal?.retryAfterSeconds ?? 0;
    assert.ok(seconds >= 1.99 && seconds <= 5, `${seconds}`);
  });

  it("cause a retry delay for callers whose requests they refused, too", () => {
    const fixture = new BackoffFixture(["one"]);
    const refusal = refusalOf(fixture.requestBackoff("one", 0));
    assert.equal(refusal?.reason, "TARGETS_BACKING_OFF");
    const seconds = refusal?.retryAfterSeconds ?? 0;
    assert.ok(seconds >= 3 && seconds <= 6, `${seconds}`);
  });

  it("get a request that can wait for the end of the backoff when it ends", () => {
    const fixture = new BackoffFixture(["one", "two"]);
    fixture.requestBackoffFromAll(0);
    assert.equal(refusalOf(fixture.request(BACKOFF_MS - 50)), undefined);
    const later = fixture.reduce({ kind: "tick", now: BACKOFF_MS });
    assert.equal(sentOf(later).length, 1);
  });

  it("cause retry delays that are spread", () => {
    const fixture = new BackoffFixture(["one", "two"]);
    fixture.requestBackoffFromAll(0);
    const times = Array.from(
      { length: REQUESTS },
      () => refusalOf(fixture.request(1000))?.retryAfterSeconds ?? 0,
    );
    assert.ok(Math.max(...times) - Math.min(...times) > 1);
  });
});

function attemptOf({ requestId, attempt }: SubmitMessage) {
  return { requestId, attempt };
}
