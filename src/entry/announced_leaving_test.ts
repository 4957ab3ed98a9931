/**
 * Guards against sending requests to a target that announced in an answer that it leaves.
 * Lists still name such a target for a while, and requests that reach it are lost when it
 * ends.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
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
import type { EntryEffect, EntryEvent } from "./types.ts";

const LEAVING = createNotice({ leaving: { kind: "leaving" } });
const REQUESTS = 40;

/** One entry with a list of targets. */
class LeavingFixture {
  readonly entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(3),
  });
  #requests = 0;

  constructor(names: readonly string[]) {
    const service = ["idempotentMethods: [POST]", "retryShare: 1"];
    const routes = createRoutes({ service });
    this.reduce({ kind: "settings_in_force", now: 0, routes });
    this.list(names);
  }

  reduce(event: EntryEvent): readonly EntryEffect[] {
    return this.entry.reduce(event);
  }

  list(names: readonly string[]): void {
    const instances = names.map((name) => createInstance(name));
    this.reduce({ kind: "instances_listed", now: 0, instances });
  }

  request(): readonly EntryEffect[] {
    const request = createCallerRequest({ id: ++this.#requests });
    return this.reduce({ kind: "request_arrived", now: 0, request });
  }

  sendTo(target: string): SubmitMessage {
    for (let call = 0; call < 100; call++) {
      const [sent] = submitsOf(this.request());
      if (sent?.targetName === target) return sent.message;
    }
    throw new Error(`No request went to ${target}`);
  }

  receive(target: string, message: AttemptMessage): readonly EntryEffect[] {
    const event = { kind: "message_received", targetName: target } as const;
    return this.reduce({ ...event, now: 10, message });
  }

  /** Has the target announce with a whole answer that it leaves. */
  announce(target: string): readonly EntryEffect[] {
    const answer = createEmptyAnswer(this.sendTo(target));
    return answer.flatMap((message) =>
      this.receive(target, { ...message, notice: LEAVING } as AttemptMessage)
    );
  }

  targetsOfRequests(): string {
    const sent = Array.from({ length: REQUESTS }, () => this.request());
    const names = submitsOf(sent.flat()).map(({ targetName }) => targetName);
    return [...new Set(names)].sort().join(" ");
  }
}

function submitsOf(effects: readonly EntryEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "submit"
      ? [{ targetName: effect.targetName, message: effect.message }]
      : []
  );
}

function refusalOf(effects: readonly EntryEffect[]): string | undefined {
  for (const effect of effects) {
    if (effect.kind === "refuse_request") return effect.problem.reason;
  }
  return undefined;
}

describe("a target that announces with an answer that it leaves", () => {
  it("has its answer delivered, and gets no further requests", () => {
    const fixture = new LeavingFixture(["one", "two"]);
    const effects = fixture.announce("one");
    assert.ok(effects.some(({ kind }) => kind === "whole_answer"));
    assert.ok(effects.some(({ kind }) => kind === "memories_changed"));
    assert.equal(fixture.targetsOfRequests(), "two");
    assert.ok(!fixture.entry.mayBegin("one", 10));
  });

  it("gets no retry of a request that another target refused", () => {
    const fixture = new LeavingFixture(["one", "two", "three"]);
    const submit = fixture.sendTo("two");
    fixture.announce("one");
    const refused = createRefused(submit, "BACK_END_FULL");
    const [retry] = submitsOf(fixture.receive("two", refused));
    assert.equal(retry?.targetName, "three");
  });

  it("gets no requests when it is listed again after it was missing", () => {
    const fixture = new LeavingFixture(["one", "two"]);
    fixture.announce("one");
    fixture.list(["two"]);
    fixture.list(["one", "two"]);
    assert.equal(fixture.targetsOfRequests(), "two");
  });

  it("is replaced by its next incarnation", () => {
    const fixture = new LeavingFixture(["one"]);
    fixture.announce("one");
    assert.equal(refusalOf(fixture.request()), "TARGETS_LEAVING");
    fixture.list(["one", "one-again"]);
    assert.equal(fixture.targetsOfRequests(), "one-again");
  });

  it("gets no requests from an entry that learned of it from another entry", () => {
    const fixture = new LeavingFixture(["one", "two"]);
    const targets = [{ target: "one", knownAt: 0 }];
    fixture.reduce({ kind: "leaving_told", now: 0, targets });
    assert.equal(fixture.targetsOfRequests(), "two");
  });
});
