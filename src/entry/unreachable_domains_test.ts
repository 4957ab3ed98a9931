/**
 * Guards against waiting for connections to a failure domain that the entry cannot reach.
 * Callers still reach the entry, and otherwise each attempt, its retry, and the attempts
 * after the caller's own retry would wait for the connection timeout.
 */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { RandomSource } from "../core/random_source.ts";
import type { SubmitMessage } from "../messages/types.ts";
import {
  createCallerRequest,
  createEmptyAnswer,
  createInstance,
  createRefused,
  createRoutes,
} from "../testing/fixtures.ts";
import { EntryReducer } from "./entry_reducer.ts";
import type { CallerRequest, EntryEffect } from "./types.ts";

interface Sent {
  readonly target: string;
  readonly message: SubmitMessage;
}

function sentOf(effects: readonly EntryEffect[]): readonly Sent[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "submit"
      ? [{ target: effect.targetName, message: effect.message }]
      : []
  );
}

function refusalOf(effects: readonly EntryEffect[]): string | undefined {
  return effects.flatMap((effect) =>
    effect.kind === "refuse_request" ? [effect.problem.reason] : []
  )[0];
}

class IsolatedEntry {
  readonly #entry = new EntryReducer({
    failureDomain: "near",
    random: new RandomSource(1),
  });

  constructor(failureDomains: readonly string[]) {
    this.#entry.reduce({
      kind: "settings_in_force",
      now: 0,
      routes: createRoutes({
        service: [
          "retryShare: 1",
          "mostAttempts: 2",
          "defaultDeadlineMs: 8000",
          "longestDeadlineMs: 8000",
          "objectiveMs: 400",
        ],
      }),
    });
    this.#entry.reduce({
      kind: "instances_listed",
      now: 0,
      instances: failureDomains.map((failureDomain, number) =>
        createInstance(`${failureDomain}-${number}`, { failureDomain })
      ),
    });
  }

  request(
    id: number,
    now: number,
    changes: Partial<CallerRequest> = {},
  ): readonly EntryEffect[] {
    const request = createCallerRequest({ id, deadlineMs: 8000, ...changes });
    return this.#entry.reduce({ kind: "request_arrived", now, request });
  }

  fail({ target, message }: Sent, now: number): readonly EntryEffect[] {
    return this.#entry.reduce({
      kind: "message_received",
      now,
      targetName: target,
      message: createRefused(message, "BACK_END_UNREACHABLE"),
    });
  }

  answer({ target, message }: Sent, now: number): readonly EntryEffect[] {
    return createEmptyAnswer(message).flatMap((part) =>
      this.#entry.reduce({
        kind: "message_received",
        now,
        targetName: target,
        message: part,
      })
    );
  }

  tick(now: number): readonly EntryEffect[] {
    return this.#entry.reduce({ kind: "tick", now });
  }

  /** Sends two requests; their connections and those of their retries fail. */
  failRequests(): void {
    for (const id of [1, 2]) {
      const [first] = sentOf(this.request(id, 0));
      assert.ok(first !== undefined);
      const [second] = sentOf(this.fail(first, 400));
      if (second !== undefined) this.fail(second, 800 + id);
    }
  }
}

describe("an entry that can reach none of its targets", () => {
  let entry: IsolatedEntry;

  beforeEach(() => {
    entry = new IsolatedEntry(["far", "far", "far", "far", "far"]);
    entry.failRequests();
    const [probe] = sentOf(entry.request(3, 810));
    assert.ok(probe !== undefined, "No request was sent as a probe");
  });

  it("refuses requests that cannot be answered in time any more", () => {
    const effects = entry.request(4, 820, { deadlineMs: 50 });
    assert.deepEqual(sentOf(effects), []);
    assert.equal(refusalOf(effects), "TARGETS_UNREACHABLE");
  });

  it("refuses waiting requests once they cannot be answered in time any more", () => {
    entry.request(4, 820, { deadlineMs: 200 });
    assert.equal(refusalOf(entry.tick(950)), undefined);
    assert.equal(refusalOf(entry.tick(960)), "TARGETS_UNREACHABLE");
  });

  // Guards against refusals while a probe may still reach a target in time.
  it("keeps requests waiting until one of them reaches a target", () => {
    const waiting = entry.request(4, 820);
    assert.equal(refusalOf(waiting), undefined);
    const [probe] = sentOf(entry.tick(1100));
    assert.equal(probe?.message.requestId, 4);
    entry.answer(probe as Sent, 1110);
    assert.equal(sentOf(entry.request(5, 1120)).length, 1);
  });

  it("keeps a request waiting after its probe has failed", () => {
    entry.request(4, 820);
    const [probe] = sentOf(entry.tick(1100));
    const effects = entry.fail(probe as Sent, 1500);
    assert.equal(refusalOf(effects), undefined);
  });
});

describe("an entry that cannot reach some of its targets", () => {
  it("sends requests to the failure domain that it can reach", () => {
    const entry = new IsolatedEntry(["far", "far", "far", "near"]);
    for (let id = 1; id <= 12; id++) {
      for (const sent of sentOf(entry.request(id, id * 20))) {
        if (sent.target.startsWith("far")) entry.fail(sent, id * 20 + 400);
      }
    }
    for (let id = 20; id <= 30; id++) {
      const targets = sentOf(entry.request(id, 700))
        .map(({ target }) => target);
      const far = targets.filter((target) => target.startsWith("far"));
      assert.ok(far.length === 0 || id === 20, `${targets}`);
    }
  });
});
