/**
 * Guards against a target that ends with all its runs because one request cannot be sent
 * to its back end.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventLog } from "../events/event_log.ts";
import { BackEnd, type BackEndCall } from "../external/back_end.ts";
import { Metrics } from "../process/metrics.ts";
import { createSubmit } from "../testing/fixtures.ts";
import { BackEndCalls } from "./back_end_calls.ts";
import type { TargetEvent } from "./types.ts";

/** A back end to which no request can be sent. */
class UnsendableBackEnd extends BackEnd {
  override start(): BackEndCall {
    throw new TypeError("unexpected");
  }

  override async close(): Promise<void> {}
}

describe("an exception while a request is sent to the back end", () => {
  it("fails that run", async () => {
    const log = new EventLog({ role: "target", processName: "test" });
    const source = { queued: 0, settingsRevision: 0, olderOffers: 0 };
    const events: TargetEvent[] = [];
    const calls = new BackEndCalls({
      backEnd: new UnsendableBackEnd(),
      metrics: new Metrics(() => ({ inFlight: 0, ...source }), log),
      log,
      onEvent: (event) => events.push(event),
    });
    const request = createSubmit();
    calls.start({ kind: "start_back_end", runId: 7, request });
    assert.equal(events.length, 0);
    await Promise.resolve();
    const outcomes = events.map((event) =>
      event.kind === "back_end_failed" ? [event.runId, event.failure] : []
    );
    assert.deepEqual(outcomes, [[7, "broken"]]);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});
