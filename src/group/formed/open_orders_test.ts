import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRankState } from "../../testing/rank_state.ts";
import { OpenOrders } from "./open_orders.ts";

const GO = { kind: "go", epoch: 1, pass: 9 } as const;
const MAP = { layers: [] };
const PREPARE = { kind: "prepare", epoch: 1, version: 5, map: MAP } as const;

describe("open orders", () => {
  it("are resent sooner if the group may wait for them", () => {
    const orders = new OpenOrders(1);
    orders.open(0, PREPARE, 0);
    orders.open(1, GO, 0);
    assert.deepEqual(orders.takeDue(100), []);
    assert.deepEqual(orders.takeDue(200).map(({ rank }) => rank), [1]);
    assert.deepEqual(orders.takeDue(250), []);
    assert.deepEqual(orders.takeDue(1000).map(({ rank }) => rank), [0, 1]);
  });

  it("are closed by a state that shows their effect", () => {
    const orders = new OpenOrders(1);
    orders.open(1, GO, 0);
    orders.closeIfExecuted(1, createRankState({ heldPass: GO.pass }));
    assert.equal(orders.isEmpty, false);
    orders.closeIfExecuted(1, createRankState({ heldPass: undefined }));
    assert.equal(orders.isEmpty, true);
  });

  it("have unique numbers, also when one replaces another", () => {
    const orders = new OpenOrders(7);
    const first = orders.open(1, PREPARE, 0);
    const second = orders.open(1, GO, 0);
    assert.deepEqual([first.id, second.id], [7, 8]);
    assert.equal(orders.tryGet(1)?.id, 8);
  });
});
