import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RandomSource } from "../../core/random_source.ts";
import { createRankState } from "../../testing/rank_state.ts";
import { FormedGroupDecider } from "./decider.ts";
import type { DeciderEffect, SendOrder } from "./decider_types.ts";
import {
  isExecuted,
  type RankState,
} from "../../messages/formed_group_types.ts";

const RANKS = 3;

function createState(
  rank: number,
  changes: Partial<RankState> = {},
): RankState {
  return createRankState({
    rank,
    ranks: RANKS,
    pass: 10,
    activeVersion: 0,
    ...changes,
  });
}

function getOrders(effects: readonly DeciderEffect[]): readonly SendOrder[] {
  return effects.flatMap((effect) =>
    effect.kind === "send_order" ? [effect] : []
  );
}

class DeciderFixture {
  readonly decider = new FormedGroupDecider({
    state: createState(0),
    random: new RandomSource(1),
    now: 0,
    firstOrderId: 1,
  });

  report(
    state: RankState,
    answer: { readonly orderId?: number; readonly isDone?: boolean } = {},
  ): readonly DeciderEffect[] {
    return this.decider.reduce({
      kind: "rank_reported",
      now: 0,
      rank: state.rank,
      report: {
        kind: "rank_report",
        state,
        experts: [[state.rank]],
        ...answer,
      },
    });
  }

  /** Reports that every rank has executed its order; returns the resulting orders. */
  execute(
    orders: readonly SendOrder[],
    changes: Partial<RankState>,
  ): readonly SendOrder[] {
    return orders.flatMap(({ rank, order, orderId }) => {
      const state = createState(rank, changes);
      assert.ok(isExecuted(order, state), `${order.kind} at ${rank}`);
      return getOrders(this.report(state, { orderId, isDone: true }));
    });
  }

  /** Reports all ranks and proposes a map; returns the orders to prepare it. */
  settleAndPropose(): readonly SendOrder[] {
    for (let rank = 0; rank < RANKS; rank++) this.report(createState(rank));
    return this.propose();
  }

  /** Proposes a map to a settled group. */
  propose(): readonly SendOrder[] {
    const map = { layers: [{ experts: [[1], [2], [0]] }] };
    return getOrders(
      this.decider.reduce({ kind: "map_proposed", now: 0, map }),
    );
  }

  /**
   * Runs a whole switch that starts with the last pass begun. When all ranks are armed,
   * `remainingPasses` are left until the pass of the switch, which is returned.
   */
  runSwitch(
    orders: readonly SendOrder[],
    lastPass: number,
    remainingPasses: number,
  ): number {
    const version = getVersion(orders);
    const prepared = { preparedVersion: version, pass: lastPass };
    const holds = this.execute(orders, prepared);
    const pass = getPass(holds);
    const holder = this.execute(holds, { ...prepared, heldPass: pass });
    const armed = { armed: { version, pass }, pass: pass - remainingPasses };
    const others = this.execute(holder, armed);
    const releases = this.execute(others, armed);
    this.execute(releases, { activeVersion: version, pass });
    this.report(createState(0, { activeVersion: version, pass }));
    return pass;
  }

  /** Runs a switch up to the order to arm the holder. */
  startArming(): readonly SendOrder[] {
    const prepares = this.settleAndPropose();
    const version = getVersion(prepares);
    const holds = this.execute(prepares, { preparedVersion: version });
    return this.execute(holds, {
      preparedVersion: version,
      heldPass: holds[0]?.order.kind === "hold" ? holds[0].order.pass : 0,
    });
  }
}

function getVersion(orders: readonly SendOrder[]): number {
  const [first] = orders;
  assert.ok(first?.order.kind === "prepare" || first?.order.kind === "arm");
  return first.order.version;
}

function getPass(orders: readonly SendOrder[]): number {
  const [first] = orders;
  assert.ok(first?.order.kind === "hold");
  return first.order.pass;
}

function describeOrders(orders: readonly SendOrder[]): readonly string[] {
  return orders.map(({ rank, order }) => `${rank} ${order.kind}`);
}

describe("decider of a formed group", () => {
  it("prepares, holds, arms the holder, arms the others and releases", () => {
    const fixture = new DeciderFixture();
    const prepares = fixture.settleAndPropose();
    assert.deepEqual(describeOrders(prepares), [
      "0 prepare",
      "1 prepare",
      "2 prepare",
    ]);
    const version = getVersion(prepares);
    const holds = fixture.execute(prepares, { preparedVersion: version });
    assert.deepEqual(describeOrders(holds), ["1 hold"]);
    const held = { preparedVersion: version, heldPass: 12 };
    const holder = fixture.execute(holds, held);
    assert.deepEqual(describeOrders(holder), ["1 arm"]);
    const armed = { armed: { version, pass: 12 } };
    const others = fixture.execute(holder, armed);
    assert.deepEqual(describeOrders(others), ["0 arm", "2 arm"]);
    assert.deepEqual(describeOrders(fixture.execute(others, armed)), ["1 go"]);
  });

  it("holds a later pass when the first one has begun", () => {
    const fixture = new DeciderFixture();
    const prepares = fixture.settleAndPropose();
    const prepared = { preparedVersion: getVersion(prepares) };
    const [hold] = fixture.execute(prepares, prepared);
    const state = createState(1, { ...prepared, pass: 12 });
    const answer = { orderId: hold?.orderId, isDone: false };
    const [next] = getOrders(fixture.report(state, answer));
    assert.ok(next?.order.kind === "hold" && next.order.pass > 12);
  });

  it("holds a pass further ahead after the group had to wait", () => {
    const fixture = new DeciderFixture();
    const first = fixture.runSwitch(fixture.settleAndPropose(), 10, 1);
    assert.equal(first, 12);
    // The group waited for pass 12 while its ranks were armed.
    const second = fixture.runSwitch(fixture.propose(), 12, 2);
    assert.equal(second, 12 + 3);
    // With two passes remaining the margin stays the same, with three it shrinks.
    const third = fixture.runSwitch(fixture.propose(), 15, 3);
    assert.equal(third, 15 + 3);
    assert.equal(fixture.runSwitch(fixture.propose(), 18, 3), 18 + 2);
  });

  it("gives up a map that a rank rejects and keeps the previous one", () => {
    const fixture = new DeciderFixture();
    const [first] = fixture.settleAndPropose();
    const answer = { orderId: first?.orderId, isDone: false };
    fixture.report(createState(0), answer);
    assert.deepEqual(fixture.decider.settledMap?.layers[0]?.experts, [
      [0],
      [1],
      [2],
    ]);
  });

  it("queries all ranks again when another process released the held pass", () => {
    const fixture = new DeciderFixture();
    const [arm] = fixture.startArming();
    assert.equal(arm?.order.kind, "arm");
    const state = createState(1, { pass: 12 });
    const answer = { orderId: arm?.orderId, isDone: false };
    const effects = fixture.report(state, answer);
    const queries = effects.filter(({ kind }) => kind === "send_query");
    assert.equal(queries.length, RANKS);
  });

  it("fences the holder of an uncommitted switch, then releases the pass", () => {
    const fixture = new DeciderFixture();
    const [fence] = getOrders(fixture.report(createState(1, {
      preparedVersion: 70_000,
      heldPass: 11,
    })));
    assert.ok(fence?.rank === 1 && fence.order.kind === "fence");
    assert.ok(fence.order.version > 70_000);
    const fenced = { preparedVersion: fence.order.version, heldPass: 11 };
    assert.deepEqual(describeOrders(fixture.execute([fence], fenced)), [
      "1 go",
    ]);
  });

  it("ignores a held pass that the group has not reached", () => {
    const fixture = new DeciderFixture();
    const held = createState(1, { preparedVersion: 70_000, heldPass: 12 });
    assert.deepEqual(getOrders(fixture.report(held)), []);
  });

  it("completes a switch that another process committed", () => {
    const fixture = new DeciderFixture();
    const armed = { version: 70_000, pass: 11 };
    const holder = createState(1, { armed, heldPass: 11 });
    const arms = getOrders(fixture.report(holder));
    assert.deepEqual(describeOrders(arms), ["0 arm", "2 arm"]);
    assert.deepEqual(describeOrders(fixture.execute(arms, { armed })), [
      "1 go",
    ]);
  });

  it("uses a higher version when a fence is rejected", () => {
    const fixture = new DeciderFixture();
    const held = createState(1, { heldPass: 11 });
    const [fence] = getOrders(fixture.report(held));
    assert.ok(fence?.order.kind === "fence");
    fixture.report(held, { orderId: fence.orderId, isDone: false });
    const [next] = getOrders(
      fixture.decider.reduce({ kind: "tick", now: 500 }),
    );
    assert.ok(next?.order.kind === "fence");
    assert.ok(next.order.version > fence.order.version);
  });

  it("gives up a switch when another process fenced the holder", () => {
    const fixture = new DeciderFixture();
    const [arm] = fixture.startArming();
    assert.ok(arm?.rank === 1 && arm.order.kind === "arm");
    const fenced = createState(1, { preparedVersion: 1_000_000, heldPass: 12 });
    const answer = { orderId: arm.orderId, isDone: false };
    const effects = fixture.report(fenced, answer);
    assert.deepEqual(getOrders(effects), []);
    assert.ok(effects.some(({ kind }) => kind === "send_query"));
  });

  it("holds no further pass for a map that a fence replaced at the holder", () => {
    const fixture = new DeciderFixture();
    const prepares = fixture.settleAndPropose();
    const prepared = { preparedVersion: getVersion(prepares) };
    const [hold] = fixture.execute(prepares, prepared);
    const fenced = createState(1, { preparedVersion: 1_000_000, pass: 12 });
    const answer = { orderId: hold?.orderId, isDone: false };
    assert.deepEqual(getOrders(fixture.report(fenced, answer)), []);
  });

  it("resends an unanswered order as repeated", () => {
    const fixture = new DeciderFixture();
    fixture.startArming();
    const [resent] = getOrders(
      fixture.decider.reduce({ kind: "tick", now: 200 }),
    );
    assert.ok(resent?.order.kind === "arm" && resent.isRepeated);
  });

  it("starts over when the group is formed again", () => {
    const fixture = new DeciderFixture();
    fixture.startArming();
    const effects = fixture.report(createState(2, { epoch: 2, pass: 0 }));
    assert.equal(fixture.decider.epoch, 2);
    assert.ok(effects.some(({ kind }) => kind === "send_query"));
    assert.deepEqual(getOrders(effects), []);
  });

  it("allocates a version above those that any rank knows", () => {
    const fixture = new DeciderFixture();
    fixture.report(createState(2, { activeVersion: 70_000 }));
    for (let rank = 0; rank < RANKS; rank++) {
      fixture.report(createState(rank, { activeVersion: 70_000 }));
    }
    const map = { layers: [{ experts: [[1], [2], [0]] }] };
    const orders = getOrders(
      fixture.decider.reduce({ kind: "map_proposed", now: 0, map }),
    );
    assert.ok(getVersion(orders) > 70_000);
  });

  /**
   * Guards against starting over because of an old state. An order was answered late, so
   * the decider read the state of that rank's engine from its own VM. An engine reports
   * its state to other VMs with a delay of about 200 ms: it still showed the hold of the
   * previous switch after the sidecar had reported that the pass had begun. The decider
   * treated this as a stray hold and started over, so the pass that it had just held was
   * not released until the group waited for it.
   */
  it("does not start over because of a stale state", () => {
    const fixture = new DeciderFixture();
    const first = fixture.runSwitch(fixture.settleAndPropose(), 10, 2);
    const prepares = fixture.propose();
    const prepared = { preparedVersion: getVersion(prepares), pass: first + 1 };
    const [hold] = fixture.execute(prepares, prepared);
    assert.equal(hold?.order.kind, "hold");
    const staleState = createState(1, { pass: first - 1, heldPass: first });
    const effects = fixture.report(staleState);
    assert.deepEqual(effects, []);
    const held = { ...prepared, heldPass: getPass([hold]) };
    assert.deepEqual(describeOrders(fixture.execute([hold], held)), ["1 arm"]);
  });

  it("repeats queries only to ranks whose experts are unknown", () => {
    const fixture = new DeciderFixture();
    fixture.report(createState(0));
    fixture.report(createState(2));
    const effects = fixture.decider.reduce({ kind: "tick", now: 300 });
    assert.deepEqual(
      effects.map((effect) => effect.kind === "send_query" && effect.rank),
      [1],
    );
  });

  it("keeps known states while ranks switch one after another", () => {
    const fixture = new DeciderFixture();
    fixture.report(createState(0, { activeVersion: 5 }));
    fixture.report(createState(1));
    fixture.report(createState(2, { activeVersion: 5 }));
    assert.equal(fixture.decider.settledMap, undefined);
    fixture.report(createState(1, { activeVersion: 5 }));
    assert.notEqual(fixture.decider.settledMap, undefined);
  });

  it("discards the experts that a rank had before it switched", () => {
    const fixture = new DeciderFixture();
    fixture.report(createState(0));
    fixture.decider.reduce({
      kind: "rank_reported",
      now: 0,
      rank: 0,
      report: {
        kind: "rank_report",
        state: createState(0, { activeVersion: 5 }),
      },
    });
    for (const rank of [1, 2]) {
      fixture.report(createState(rank, { activeVersion: 5 }));
    }
    assert.equal(fixture.decider.settledMap, undefined);
  });
});
