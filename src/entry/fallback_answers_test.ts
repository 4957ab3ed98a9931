/**
 * Guards against the loss of an error answer: a target answers with an error, the request
 * is retried, no other target answers it, and the caller gets a refusal of the entry
 * instead of the target's answer.
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import type { AttemptMessage, SubmitMessage } from "../messages/types.ts";
import {
  createCallerRequest,
  createInstance,
  createRefused,
  createRoutes,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";
import type { EntryEffect } from "./types.ts";

const BODY = Buffer.from("error");

/** An entry with two targets and an idempotent request. */
class FallbackAnswerFixture {
  readonly #entry = new EntryReducer({
    failureDomain: "a",
    random: new RandomSource(5),
  });

  constructor() {
    const service = ["idempotentMethods: [POST]", "retryShare: 1"];
    const routes = createRoutes({ service });
    this.#entry.reduce({ kind: "settings_in_force", now: 0, routes });
    const instances = ["one", "two"].map((name) => createInstance(name));
    this.#entry.reduce({ kind: "instances_listed", now: 0, instances });
  }

  request(): readonly EntryEffect[] {
    const request = createCallerRequest({ deadlineMs: 1000 });
    return this.#entry.reduce({ kind: "request_arrived", now: 0, request });
  }

  receive(target: string, message: AttemptMessage): readonly EntryEffect[] {
    const event = { kind: "message_received", targetName: target } as const;
    return this.#entry.reduce({ ...event, now: 10, message });
  }

  /** Receives a complete answer with a status from a target. */
  answer(
    { targetName, message }: Sent,
    status: number,
  ): readonly EntryEffect[] {
    const attempt = { requestId: message.requestId, attempt: message.attempt };
    const headers = [["content-length", String(BODY.length)]] as const;
    const messages: readonly AttemptMessage[] = [
      { kind: "answer_head", ...attempt, sequence: 0, status, headers },
      { kind: "answer_data", ...attempt, sequence: 1, bytes: BODY },
      {
        kind: "answer_end",
        ...attempt,
        sequence: 2,
        byteCount: BODY.length,
        queued: 0,
        running: 0,
      },
    ];
    return messages.flatMap((one) => this.receive(targetName, one));
  }

  tick(now: number): readonly EntryEffect[] {
    return this.#entry.reduce({ kind: "tick", now });
  }
}

interface Sent {
  readonly targetName: string;
  readonly message: SubmitMessage;
}

function getSent(effects: readonly EntryEffect[]): Sent {
  for (const effect of effects) {
    if (effect.kind === "send" && effect.message.kind === "submit") {
      return { targetName: effect.targetName, message: effect.message };
    }
  }
  throw new Error("Nothing was sent");
}

/** Returns the status and body of the complete answer that the caller got, if any. */
function tryGetAnswer(effects: readonly EntryEffect[]): string | undefined {
  for (const effect of effects) {
    if (effect.kind !== "whole_answer") continue;
    return `${effect.status} ${Buffer.concat(effect.body).toString()}`;
  }
  return undefined;
}

describe("a request that one target answered with an error", () => {
  it("gets that answer if the next target refuses it", () => {
    const fixture = new FallbackAnswerFixture();
    const retry = getSent(fixture.answer(getSent(fixture.request()), 500));
    const refused = createRefused(retry.message, "BACK_END_FULL");
    const effects = fixture.receive(retry.targetName, refused);
    assert.equal(tryGetAnswer(effects), "500 error");
    assert.ok(effects.every(({ kind }) => kind !== "refuse_request"));
  });

  it("gets that answer at its deadline", () => {
    const fixture = new FallbackAnswerFixture();
    fixture.answer(getSent(fixture.request()), 500);
    assert.equal(tryGetAnswer(fixture.tick(1001)), "500 error");
  });

  it("gets the next target's answer if there is one", () => {
    const fixture = new FallbackAnswerFixture();
    const retry = getSent(fixture.answer(getSent(fixture.request()), 500));
    assert.equal(tryGetAnswer(fixture.answer(retry, 200)), "200 error");
  });
});
