/**
 * The failure that these tests guard against: a target answers with an error, the request is
 * sent on, no other target answers it, and its caller gets an error of ours in place of the
 * answer that was at hand.
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

/** One entry before two targets, and one request that may run twice. */
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

  /** A target gives a whole answer of a status. */
  answer(
    { targetName, message }: Sent,
    status: number,
  ): readonly EntryEffect[] {
    const place = { requestId: message.requestId, attempt: message.attempt };
    const headers = [["content-length", String(BODY.length)]] as const;
    const messages: readonly AttemptMessage[] = [
      { kind: "answer_head", ...place, sequence: 0, status, headers },
      { kind: "answer_data", ...place, sequence: 1, bytes: BODY },
      {
        kind: "answer_end",
        ...place,
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

/** Status and body that the caller got, if it got a whole answer. */
function tryGetAnswer(effects: readonly EntryEffect[]): string | undefined {
  for (const effect of effects) {
    if (effect.kind !== "whole_answer") continue;
    return `${effect.status} ${Buffer.concat(effect.body).toString()}`;
  }
  return undefined;
}

describe("a request that one target answered with an error", () => {
  it("gets that answer where the next one refuses it", () => {
    const fixture = new FallbackAnswerFixture();
    const again = getSent(fixture.answer(getSent(fixture.request()), 500));
    const refused = createRefused(again.message, "BACK_END_FULL");
    const effects = fixture.receive(again.targetName, refused);
    assert.equal(tryGetAnswer(effects), "500 error");
    assert.ok(effects.every(({ kind }) => kind !== "refuse_request"));
  });

  it("gets that answer at its deadline", () => {
    const fixture = new FallbackAnswerFixture();
    fixture.answer(getSent(fixture.request()), 500);
    assert.equal(tryGetAnswer(fixture.tick(1001)), "500 error");
  });

  it("gets the next one's answer where there is one", () => {
    const fixture = new FallbackAnswerFixture();
    const again = getSent(fixture.answer(getSent(fixture.request()), 500));
    assert.equal(tryGetAnswer(fixture.answer(again, 200)), "200 error");
  });
});
