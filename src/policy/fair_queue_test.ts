import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PRIORITIES_BY_NAME } from "../messages/priority.ts";
import { FairQueue, type QueuedItem } from "./fair_queue.ts";

interface Item extends QueuedItem {
  readonly name: string;
}

function createItem(
  name: string,
  changes: Partial<QueuedItem> = {},
): Item {
  return {
    name,
    organisation: "a",
    weight: 1,
    priority: PRIORITIES_BY_NAME.normal,
    startBy: 1000,
    ...changes,
  };
}

function takeAll(queue: FairQueue<Item>): readonly Item[] {
  const items: Item[] = [];
  for (;;) {
    const item = queue.tryTake();
    if (item === undefined) return items;
    items.push(item);
  }
}

describe("fair queue", () => {
  it("shares by weight between organisations with continuous demand", () => {
    const queue = new FairQueue<Item>(1000);
    for (let index = 0; index < 90; index++) {
      queue.add(createItem(`a${index}`, { organisation: "a", weight: 2 }));
      queue.add(createItem(`b${index}`, { organisation: "b", weight: 1 }));
    }
    const first = takeAll(queue).slice(0, 90);
    const fromA = first.filter((item) => item.organisation === "a").length;
    assert.ok(Math.abs(fromA - 60) <= 1, `${fromA} of 90`);
  });

  it("gives no advantage to an organisation that sends one item at a time", () => {
    const queue = new FairQueue<Item>(1000);
    for (let index = 0; index < 100; index++) {
      queue.add(createItem(`busy${index}`, { organisation: "busy" }));
    }
    let fromSingle = 0;
    for (let turn = 0; turn < 60; turn++) {
      if (turn % 2 === 0) {
        queue.add(createItem(`single${turn}`, { organisation: "single" }));
      }
      if (queue.tryTake()?.organisation === "single") fromSingle++;
    }
    assert.ok(fromSingle <= 31, `${fromSingle} of 60`);
  });

  it("lists the items in scheduling order without removing them", () => {
    const queue = new FairQueue<Item>(10);
    queue.add(createItem("last", { priority: 8 }));
    for (const name of ["a1", "a2"]) queue.add(createItem(name));
    queue.add(createItem("b1", { organisation: "b" }));
    queue.add(createItem("first", { priority: 0 }));
    const order = ["first", "a1", "b1", "a2", "last"];
    assert.deepEqual(queue.listInOrder().map(({ name }) => name), order);
    assert.deepEqual(takeAll(queue).map(({ name }) => name), order);
  });

  it("charges the organisation for an item that is taken out of order", () => {
    const queue = new FairQueue<Item>(10);
    const items = ["a1", "a2"].map((name) => createItem(name));
    for (const item of items) queue.add(item);
    queue.add(createItem("b1", { organisation: "b" }));
    queue.take(items[1] as Item);
    const names = takeAll(queue).map(({ name }) => name);
    assert.deepEqual(names, ["b1", "a1"]);
    assert.equal(queue.length, 0);
  });

  it("takes the most urgent priority first", () => {
    const queue = new FairQueue<Item>(10);
    queue.add(
      createItem("background", { priority: PRIORITIES_BY_NAME.background }),
    );
    queue.add(createItem("normal"));
    queue.add(createItem("quick", { priority: PRIORITIES_BY_NAME.quick }));
    const names = takeAll(queue).map((item) => item.name);
    assert.deepEqual(names, ["quick", "normal", "background"]);
  });

  // Guards against items that are dropped because others, which could wait, came before.
  it("takes the item with the least time left first within an organisation", () => {
    const queue = new FairQueue<Item>(10);
    queue.add(createItem("patient", { startBy: 3000 }));
    queue.add(createItem("first", { startBy: 500 }));
    queue.add(createItem("second", { startBy: 500 }));
    queue.add(createItem("between", { startBy: 900 }));
    const names = takeAll(queue).map(({ name }) => name);
    assert.deepEqual(names, ["first", "second", "between", "patient"]);
  });

  it("drops the item with most time left when it is full", () => {
    const queue = new FairQueue<Item>(2);
    queue.add(createItem("patient", { startBy: 3000 }));
    queue.add(createItem("first", { startBy: 500 }));
    const dropped = queue.add(createItem("second", { startBy: 600 }));
    assert.equal(dropped?.name, "patient");
  });

  it("drops the newest item of the longest organisation queue when it is full", () => {
    const queue = new FairQueue<Item>(2);
    queue.add(createItem("flood1", { organisation: "flood" }));
    queue.add(createItem("flood2", { organisation: "flood" }));
    const dropped = queue.add(createItem("other", { organisation: "other" }));
    assert.equal(dropped?.name, "flood2");
    assert.equal(queue.length, 2);
  });

  it("keeps the order when items are removed", () => {
    const queue = new FairQueue<Item>(10);
    for (const name of ["1", "2", "3"]) queue.add(createItem(name));
    const removed = queue.removeWhere((item) => item.name === "2");
    assert.deepEqual(removed.map((item) => item.name), ["2"]);
    assert.deepEqual(takeAll(queue).map((item) => item.name), ["1", "3"]);
    assert.equal(queue.length, 0);
  });
});
