import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame } from "../../messages/codec.ts";
import { LoadReader, LoadWriter } from "./load_columns.ts";
import type { GroupLoad } from "../../messages/formed_group_types.ts";

function createLoad(
  ranks: number,
  changes: Partial<GroupLoad> = {},
): GroupLoad {
  return {
    pool: "drafts",
    group: "group-1",
    isOpen: true,
    ageMs: 12,
    passMs: 61,
    loads: Array.from({ length: ranks }, (_, rank) => ({
      engineAddress: `10.20.30.${rank}:8340`,
      running: rank % 5,
      queued: rank % 3,
      pace: 1 + rank / 100,
    })),
    ...changes,
  };
}

describe("encoding of loads on a connection", () => {
  it("round-trips loads with and without addresses", () => {
    const writer = new LoadWriter();
    const reader = new LoadReader();
    for (const ageMs of [1, 2]) {
      const load = createLoad(4, { ageMs });
      assert.deepEqual(reader.tryRead(writer.write(load)), load);
    }
  });

  it("carries the epoch of the group, by which costs are kept separate", () => {
    const load = createLoad(4, { epoch: 7 });
    const message = new LoadWriter().write(load);
    assert.deepEqual(new LoadReader().tryRead(message), load);
    assert.equal(new LoadReader().tryRead(message)?.epoch, 7);
  });

  it("sends addresses again when a rank was added or removed", () => {
    const writer = new LoadWriter();
    writer.write(createLoad(4));
    assert.equal(writer.write(createLoad(4)).engineAddresses, undefined);
    assert.equal(writer.write(createLoad(3)).engineAddresses?.length, 3);
  });

  it("drops loads that do not match the addresses", () => {
    const writer = new LoadWriter();
    writer.write(createLoad(4));
    const withoutAddresses = writer.write(createLoad(4));
    assert.equal(new LoadReader().tryRead(withoutAddresses), undefined);
  });

  /** As objects with field names, the loads of 64 ranks took 3.8 KB for each entry. */
  it("takes at most half a kilobyte for 64 ranks", () => {
    const writer = new LoadWriter();
    writer.write(createLoad(64));
    const { length } = encodeFrame([writer.write(createLoad(64))]);
    assert.ok(length <= 512, `${length} bytes`);
  });
});
