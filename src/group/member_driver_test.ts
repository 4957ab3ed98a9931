import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import { EventLog } from "../events/event_log.ts";
import { RankEngine } from "../external/rank_engine.ts";
import type {
  EngineOrder,
  EngineState,
  RankLoad,
} from "../messages/group_types.ts";
import { FakeEngine } from "../testing/fake_engine.ts";
import { MemberDriver } from "./member_driver.ts";

/** Milliseconds in which the driver would send an order again. */
const RESEND_MS = 300;
const DECIDER = { epoch: 1, decider: "first" };

/** Answers each call, and counts the orders. */
class AnsweringEngine extends RankEngine {
  readonly #engine = new FakeEngine(false);
  orders = 0;

  override readState(): Promise<EngineState> {
    return Promise.resolve(this.#engine.state);
  }

  override readLoad(): Promise<RankLoad> {
    return Promise.resolve({ tokens: [], slowdown: 1 });
  }

  override execute(_: EngineOrder): Promise<EngineState> {
    this.orders++;
    return Promise.resolve(this.#engine.state);
  }
}

/**
 * Guards against an engine whose answers count as missing, so that it gets an order again
 * and again, because this program throws while it handles them.
 */
describe("an exception in the handling of an engine's answer", () => {
  it("is logged as an internal fault", async () => {
    const log = new EventLog({ role: "target", processName: "test" });
    const engine = new AnsweringEngine();
    const driver = new MemberDriver({
      engine,
      log,
      send: ({ kind }) => {
        if (kind === "applied") throw new TypeError("unexpected value");
      },
    });
    await setImmediate();
    driver.receive({ kind: "bind", ...DECIDER });
    driver.receive({ kind: "abort", ...DECIDER, version: 7 });
    await sleep(RESEND_MS);
    driver.stop();
    assert.equal(engine.orders, 1);
    assert.equal(log.counts.get("INTERNAL_FAULT"), 1);
  });
});
