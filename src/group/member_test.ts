import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeEngine } from "../testing/fake_engine.ts";
import { GroupMember, type MemberEffect } from "./member.ts";
import type {
  CoordinatorMessage,
  Decider,
  ExpertMap,
} from "../messages/group_types.ts";

const MAP: ExpertMap = { layers: [{ experts: [[0]] }] };
const FIRST: Decider = { epoch: 1, decider: "first" };
const SECOND: Decider = { epoch: 2, decider: "second" };

/** A member whose engine holds before step 5 and has version 7 staged. */
class HeldMember {
  readonly member = new GroupMember();
  readonly engine = new FakeEngine(false);

  constructor() {
    this.engine.execute(
      { kind: "assemble", incarnation: 1, version: 6, map: MAP },
      1,
    );
    this.engine.execute({ kind: "activate", version: 6, step: 0 }, 1);
    this.engine.execute({ kind: "stage", version: 7, map: MAP }, 1);
    this.engine.execute({ kind: "hold", version: 7, step: 5 }, 1);
    this.member.reduce({
      kind: "engine_said",
      now: 0,
      engine: this.engine.state,
    });
    this.receive({ kind: "bind", ...FIRST });
  }

  receive(message: CoordinatorMessage): readonly MemberEffect[] {
    return this.member.reduce({ kind: "coordinator_said", now: 0, message });
  }

  execute(
    effect: Extract<MemberEffect, { kind: "order" }>,
  ): readonly MemberEffect[] {
    this.engine.execute(effect.order, effect.fencingNumber);
    return this.member.reduce({
      kind: "engine_said",
      now: 0,
      engine: this.engine.state,
      order: effect.order,
    });
  }
}

function getOrder(
  effects: readonly MemberEffect[],
): Extract<MemberEffect, { kind: "order" }> {
  const order = effects.find((effect) => effect.kind === "order");
  assert.ok(order?.kind === "order", "Expected an order to the engine");
  return order;
}

describe("group member", () => {
  it("rejects a late decision of an earlier decider", () => {
    const held = new HeldMember();
    held.receive({ kind: "bind", ...SECOND });
    const effects = held.receive({
      kind: "commit",
      ...FIRST,
      version: 7,
      step: 5,
    });
    assert.deepEqual(effects, [
      { kind: "say", message: { kind: "outdated", ...SECOND } },
    ]);
  });

  it("distinguishes two deciders with the same epoch", () => {
    const held = new HeldMember();
    const other: Decider = { epoch: FIRST.epoch, decider: "other" };
    const effects = held.receive({ kind: "bind", ...other });
    assert.deepEqual(effects, [
      { kind: "say", message: { kind: "outdated", ...FIRST } },
    ]);
  });

  it("answers a bind only after the pending order is answered", () => {
    const held = new HeldMember();
    const order = getOrder(
      held.receive({ kind: "commit", ...FIRST, version: 7, step: 5 }),
    );
    assert.deepEqual(held.receive({ kind: "bind", ...SECOND }), []);
    const effects = held.execute(order);
    assert.equal(effects.length, 1);
    const [effect] = effects;
    assert.ok(effect?.kind === "say" && effect.message.kind === "bound");
    assert.deepEqual(effect.message.engine.activation, { version: 7, step: 5 });
  });

  it("drops queued orders of an earlier decider", () => {
    const held = new HeldMember();
    const stage = getOrder(held.receive({
      kind: "stage",
      ...FIRST,
      version: 8,
      map: MAP,
      assemble: undefined,
    }));
    held.receive({ kind: "abort", ...FIRST, version: 8 });
    held.receive({ kind: "bind", ...SECOND });
    const effects = held.execute(stage);
    assert.ok(effects.every((effect) => effect.kind !== "order"));
  });

  it("reports when the engine was replaced", () => {
    const held = new HeldMember();
    const replacement = new FakeEngine(false).state;
    const effects = held.member.reduce({
      kind: "engine_said",
      now: 0,
      engine: replacement,
    });
    assert.deepEqual(effects, [{
      kind: "say",
      message: { kind: "bound", epoch: FIRST.epoch, engine: replacement },
    }]);
  });
});
