import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FormedEngineFixture } from "../../testing/formed_engine_fixture.ts";
import { sendUntilAnswered } from "./send_until_answered.ts";

const HOLD = { kind: "hold", epoch: 1, pass: 3 } as const;

function createEngine(unanswered: number): FormedEngineFixture {
  const engine = new FormedEngineFixture(1, 3);
  engine.unansweredOrders = unanswered;
  return engine;
}

/**
 * Guards against a delayed resend of an unanswered order that holds or releases a pass.
 * Such an order goes to one engine, and the whole group waits for the release.
 */
describe("an order to an engine on another VM", () => {
  it("is resent immediately when it is not answered", async () => {
    const engine = createEngine(2);
    assert.equal(await sendUntilAnswered(engine, HOLD), "accepted");
    assert.equal(engine.receivedOrders.length, 3);
  });

  it("is sent once when it is answered, even if it is rejected", async () => {
    const engine = createEngine(0);
    await sendUntilAnswered(engine, HOLD);
    const later = { ...HOLD, pass: 4 };
    assert.equal(await sendUntilAnswered(engine, later), "rejected");
    assert.equal(engine.receivedOrders.length, 2);
  });

  it("is returned as unanswered after a limited number of sends", async () => {
    const engine = createEngine(100);
    assert.equal(await sendUntilAnswered(engine, HOLD), "unanswered");
    assert.ok(engine.receivedOrders.length < 10);
  });
});
