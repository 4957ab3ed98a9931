import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MAX_GAP_MS, StallGuard } from "./stall_guard.ts";
import type { EntryEvent } from "./types.ts";

class GuardFixture {
  now = 0;
  /** Ends the current turn of the event loop. */
  endTurn: () => void = () => undefined;
  readonly delivered: string[] = [];
  readonly guard = new StallGuard({
    now: () => this.now,
    waitForTurn: () => new Promise((resolve) => this.endTurn = resolve),
    deliver: (event) => this.delivered.push(event.kind),
  });

  /** Passes an event to the guard in the same way as the request server. */
  dispatch(event: EntryEvent): void {
    if (!this.guard.tryDefer(event)) this.delivered.push(event.kind);
  }

  async turn(): Promise<void> {
    this.endTurn();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function createTick(): EntryEvent {
  return { kind: "tick", now: 0 };
}

function createCallerGone(): EntryEvent {
  return { kind: "caller_gone", now: 0, requestId: 1 };
}

describe("the guard against stalls", () => {
  it("does not defer events while the process runs", () => {
    const fixture = new GuardFixture();
    for (let tick = 1; tick <= 5; tick++) {
      fixture.now += MAX_GAP_MS;
      fixture.dispatch(createTick());
    }
    assert.equal(fixture.delivered.length, 5);
  });

  it("delivers a caller's disconnection before earlier events of the same turn", async () => {
    const fixture = new GuardFixture();
    fixture.now = MAX_GAP_MS + 1;
    fixture.dispatch({ kind: "entries_listed", entries: ["one"], now: 0 });
    fixture.dispatch(createTick());
    fixture.dispatch(createCallerGone());
    assert.deepEqual(fixture.delivered, ["caller_gone"]);
    await fixture.turn();
    assert.deepEqual(
      fixture.delivered,
      ["caller_gone", "entries_listed", "tick"],
    );
  });

  it("defers no events after that turn", async () => {
    const fixture = new GuardFixture();
    fixture.now = 2000;
    fixture.dispatch(createTick());
    await fixture.turn();
    fixture.now += 1;
    fixture.dispatch(createTick());
    assert.deepEqual(fixture.delivered, ["tick", "tick"]);
  });
});
