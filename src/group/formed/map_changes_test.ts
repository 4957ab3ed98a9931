import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame } from "../../messages/codec.ts";
import type { ExpertMap } from "../../messages/group_types.ts";
import { MapDecoder, MapEncoder } from "./map_changes.ts";
import type {
  MapChangeMessage,
  RankOrderMessage,
} from "../../messages/formed_group_types.ts";

const FIRST: ExpertMap = {
  layers: [{ experts: [[0, 1], [2]] }, { experts: [[0], [1, 2]] }],
};
const SECOND: ExpertMap = {
  layers: [{ experts: [[0, 1], [0, 2]] }, { experts: [[0], [1, 2]] }],
};

function createPrepare(version: number, map: ExpertMap): RankOrderMessage {
  const order = { kind: "prepare", epoch: 1, version, map } as const;
  return { kind: "rank_order", orderId: version, order };
}

/** Encodes the second map for a link on which the first was sent. */
function createChange(): MapChangeMessage {
  const sent = new MapEncoder();
  sent.encode(createPrepare(1, FIRST));
  const change = sent.encode(createPrepare(2, SECOND));
  assert.ok(change.kind === "map_change");
  return change;
}

describe("encoding of maps on a link", () => {
  it("sends the full map first, then the changed rows", () => {
    const sent = new MapEncoder();
    const order = createPrepare(1, FIRST);
    assert.equal(sent.encode(order), order);
    const change = sent.encode(createPrepare(2, SECOND));
    assert.ok(change.kind === "map_change");
    const { checksum: _, ...fields } = change;
    assert.deepEqual(fields, {
      kind: "map_change",
      orderId: 2,
      epoch: 1,
      version: 2,
      rows: { layers: [0], ranks: [1], dropped: [[]], gained: [[0]] },
    });
  });

  it("restores the full map at the receiver, also when it is sent again", () => {
    const sent = new MapEncoder();
    const received = new MapDecoder();
    const first = sent.encode(createPrepare(1, FIRST));
    assert.ok(first.kind === "rank_order" && first.order.kind === "prepare");
    received.record(first.order.map);
    for (const map of [SECOND, SECOND, FIRST]) {
      const change = sent.encode(createPrepare(2, map));
      assert.ok(change.kind === "map_change");
      assert.deepEqual(received.tryDecode(change), createPrepare(2, map));
    }
  });

  it("rejects a change if no map was received", () => {
    const received = new MapDecoder();
    assert.equal(received.tryDecode(createChange()), undefined);
  });

  it("rejects a change that does not match the previous map", () => {
    const received = new MapDecoder();
    received.record(SECOND);
    const { checksum } = createChange();
    const rows = { layers: [0], ranks: [0], dropped: [[0]], gained: [[]] };
    const change = { ...createChange(), rows, checksum };
    assert.equal(received.tryDecode(change), undefined);
  });

  /** Full maps take 388 KB for 64 ranks, which is 0.74 s of a link of 4.2 Mbit/s. */
  it("needs less than a quarter of the bytes for 200 copies at 64 ranks", () => {
    const rows = Array.from(
      { length: 64 },
      (_, rank) => [0, 1, 2, 3].map((slot) => rank + 64 * slot),
    );
    const base = {
      layers: Array.from({ length: 12 }, () => ({ experts: rows })),
    };
    const layers = base.layers.map(({ experts }) => ({
      experts: experts.map((row, rank) =>
        rank % 4 === 0
          ? [...row, 255 - rank].sort((left, right) => left - right)
          : row
      ),
    }));
    const sent = new MapEncoder();
    const full = encodeFrame([sent.encode(createPrepare(1, base))]).length;
    const change = encodeFrame([sent.encode(createPrepare(2, { layers }))]);
    assert.ok(change.length * 4 < full, `${change.length} of ${full}`);
  });

  it("sends the full map if the order of a rank's experts matters", () => {
    const sent = new MapEncoder();
    sent.encode(createPrepare(1, FIRST));
    const unsorted: ExpertMap = {
      layers: [{ experts: [[0, 1], [2, 0]] }, { experts: [[0], [1, 2]] }],
    };
    const order = createPrepare(2, unsorted);
    assert.equal(sent.encode(order), order);
  });

  it("sends changes to a map that was sent ahead of the first order", () => {
    const sent = new MapEncoder();
    const received = new MapDecoder();
    assert.equal(sent.hasBase, false);
    received.record(sent.encodeBase(FIRST).map);
    assert.equal(sent.hasBase, true);
    const change = sent.encode(createPrepare(2, SECOND));
    assert.ok(change.kind === "map_change");
    assert.deepEqual(received.tryDecode(change), createPrepare(2, SECOND));
  });

  it("leaves other orders unchanged", () => {
    const order = { kind: "go", epoch: 1, pass: 3 } as const;
    const message = { kind: "rank_order", orderId: 1, order } as const;
    assert.equal(new MapEncoder().encode(message), message);
  });
});
