import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ExpertMap } from "../types.ts";
import { ReceivedMap, SentMap } from "./map_changes.ts";
import type { RankOrderMessage } from "./types.ts";

const FIRST: ExpertMap = {
  layers: [{ experts: [[0, 1], [2]] }, { experts: [[0], [1, 2]] }],
};
const SECOND: ExpertMap = {
  layers: [{ experts: [[0, 1], [2, 0]] }, { experts: [[0], [1, 2]] }],
};

function createPrepare(version: number, map: ExpertMap): RankOrderMessage {
  const order = { kind: "prepare", epoch: 1, version, map } as const;
  return { kind: "rank_order", orderId: version, order };
}

describe("maps on a link", () => {
  it("are sent whole first, then as rows that differ", () => {
    const sent = new SentMap();
    const whole = createPrepare(1, FIRST);
    assert.equal(sent.encode(whole), whole);
    assert.deepEqual(sent.encode(createPrepare(2, SECOND)), {
      kind: "map_change",
      orderId: 2,
      epoch: 1,
      version: 2,
      rows: { layers: [0], ranks: [1], experts: [[2, 0]] },
    });
  });

  it("come out whole on the other side, also when sent again", () => {
    const sent = new SentMap();
    const received = new ReceivedMap();
    const first = sent.encode(createPrepare(1, FIRST));
    assert.ok(first.kind === "rank_order" && first.order.kind === "prepare");
    received.note(first.order);
    for (const map of [SECOND, SECOND, FIRST]) {
      const change = sent.encode(createPrepare(2, map));
      assert.ok(change.kind === "map_change");
      assert.deepEqual(received.tryDecode(change), createPrepare(2, map));
    }
  });

  it("are not made up where none was received", () => {
    const change = { kind: "map_change", orderId: 1, epoch: 1, version: 2 };
    const rows = { layers: [], ranks: [], experts: [] };
    const received = new ReceivedMap();
    assert.equal(
      received.tryDecode({ ...change, kind: "map_change", rows }),
      undefined,
    );
  });

  it("leave other orders as they are", () => {
    const order = { kind: "go", epoch: 1, pass: 3 } as const;
    const message = { kind: "rank_order", orderId: 1, order } as const;
    assert.equal(new SentMap().encode(message), message);
  });
});
