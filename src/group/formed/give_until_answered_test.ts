import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FormedEngineFixture } from "../../testing/formed_engine_fixture.ts";
import { sendUntilAnswered } from "./give_until_answered.ts";

const HOLD = { kind: "hold", epoch: 1, pass: 3 } as const;

function createEngine(unanswered: number): FormedEngineFixture {
  const engine = new FormedEngineFixture(1, 3);
  engine.unanswered = unanswered;
  return engine;
}

/**
 * The pattern: the order that holds a pass, or the one that lets it begin, gets no answer.
 * Each is given to one engine, and the whole group waits for the second.
 */
describe("an order to an engine of another machine", () => {
  it("is given again as soon as it has got no answer", async () => {
    const engine = createEngine(2);
    assert.equal(await sendUntilAnswered(engine, HOLD), "accepted");
    assert.equal(engine.given.length, 3);
  });

  it("is given once when it is answered, also when it is refused", async () => {
    const engine = createEngine(0);
    await sendUntilAnswered(engine, HOLD);
    const later = { ...HOLD, pass: 4 };
    assert.equal(await sendUntilAnswered(engine, later), "rejected");
    assert.equal(engine.given.length, 2);
  });

  it("is left to its sender's next look when the engine stays silent", async () => {
    const engine = createEngine(100);
    assert.equal(await sendUntilAnswered(engine, HOLD), "unanswered");
    assert.ok(engine.given.length < 10);
  });
});
