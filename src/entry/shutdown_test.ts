/**
 * Guards against requests that are sent, again or for the first time, so late in the
 * shutdown of their entry that they are cut at its end.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  DirectFixture,
  getAllSent,
  getSent,
  tryGetProblem,
} from "../testing/direct_entry_fixture.ts";
import { createInstance, createRefused } from "../testing/fixtures.ts";

const END_AT = 5000;
/** After the end, so that a request is not known to end before. */
const DEADLINE_MS = 20_000;
const SERVICE = ["retryShare: 1", "idempotentMethods: [POST]"];

/** Creates an entry that is to end, and of whose service no answer is known. */
function createEnding(targets: readonly string[]): DirectFixture {
  const fixture = new DirectFixture(targets, { service: SERVICE });
  fixture.entry.reduce({ kind: "shutdown_planned", now: 0, endAt: END_AT });
  return fixture;
}

function stopAccepting(fixture: DirectFixture): void {
  fixture.entry.reduce({ kind: "drain_requested", now: 5 });
}

describe("a request that waits at an entry that shuts down", () => {
  it("is refused once it can't end in time, and sent nowhere", () => {
    const fixture = createEnding([]);
    fixture.request({ deadlineMs: DEADLINE_MS });
    assert.equal(tryGetProblem(fixture.tick(1)), undefined);
    stopAccepting(fixture);
    const problem = tryGetProblem(fixture.tick(10));
    assert.equal(problem?.reason, "ENTRY_DRAINING");
    assert.equal(problem?.status, 503);
    assert.deepEqual(getAllSent(fixture.list([createInstance("one")])), []);
  });

  it("is sent if it ends by its deadline", () => {
    const fixture = createEnding([]);
    fixture.request({ deadlineMs: END_AT });
    stopAccepting(fixture);
    const effects = fixture.list([createInstance("one")]);
    assert.equal(getAllSent(effects).length, 1);
  });
});

describe("a failed attempt at an entry that shuts down", () => {
  it("is repeated while other requests are accepted", () => {
    const fixture = createEnding(["one", "two"]);
    const request = fixture.request({ deadlineMs: DEADLINE_MS });
    const { target, message } = getSent(request);
    const failed = createRefused(message, "BACK_END_FULL");
    assert.equal(getAllSent(fixture.receive(target, failed)).length, 1);
  });

  for (
    const [reason, status] of [
      ["BACK_END_FULL", 503],
      ["BACK_END_FAILED", 502],
    ] as const
  ) {
    it(`is not repeated if that can't end in time: ${reason} gives ${status}`, () => {
      const fixture = createEnding(["one", "two"]);
      const request = fixture.request({ deadlineMs: DEADLINE_MS });
      const { target, message } = getSent(request);
      stopAccepting(fixture);
      const effects = fixture.receive(target, createRefused(message, reason));
      assert.deepEqual(getAllSent(effects), []);
      assert.equal(tryGetProblem(effects)?.status, status);
    });
  }
});

describe("the end of an entry", () => {
  function endWith(targets: readonly string[]) {
    const fixture = createEnding(targets);
    fixture.request({ deadlineMs: DEADLINE_MS });
    return fixture.entry.reduce({ kind: "shutdown_ended", now: END_AT });
  }

  it("answers a request that may have run with 502, and cancels it", () => {
    const effects = endWith(["one"]);
    assert.equal(tryGetProblem(effects)?.reason, "ENTRY_ENDED");
    assert.equal(tryGetProblem(effects)?.status, 502);
    assert.equal(getAllSent(effects).length, 0);
    const [cancel] = effects.filter(({ kind }) => kind === "send");
    assert.ok(cancel?.kind === "send" && cancel.message.kind === "cancel");
  });

  it("answers a request that was sent nowhere with 503", () => {
    const problem = tryGetProblem(endWith([]));
    assert.equal(problem?.reason, "ENTRY_DRAINING");
    assert.equal(problem?.status, 503);
  });
});
