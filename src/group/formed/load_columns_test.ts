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

describe("loads on a connection", () => {
  it("are read as they were written, with and without addresses", () => {
    const writer = new LoadWriter();
    const reader = new LoadReader();
    for (const ageMs of [1, 2]) {
      const load = createLoad(4, { ageMs });
      assert.deepEqual(reader.tryRead(writer.write(load)), load);
    }
  });

  it("tell the formation of the group, whose costs are kept apart by it", () => {
    const load = createLoad(4, { epoch: 7 });
    const message = new LoadWriter().write(load);
    assert.deepEqual(new LoadReader().tryRead(message), load);
    assert.equal(new LoadReader().tryRead(message)?.epoch, 7);
  });

  it("tell addresses again when a rank came or went", () => {
    const writer = new LoadWriter();
    writer.write(createLoad(4));
    assert.equal(writer.write(createLoad(4)).engineAddresses, undefined);
    assert.equal(writer.write(createLoad(3)).engineAddresses?.length, 3);
  });

  it("are left out where they do not fit the addresses", () => {
    const writer = new LoadWriter();
    writer.write(createLoad(4));
    const later = writer.write(createLoad(4));
    assert.equal(new LoadReader().tryRead(later), undefined);
  });

  /** By rows with their names 64 ranks took 3.8 KB, to each entry. */
  it("take half a kilobyte for 64 ranks", () => {
    const writer = new LoadWriter();
    writer.write(createLoad(64));
    const { length } = encodeFrame([writer.write(createLoad(64))]);
    assert.ok(length <= 512, `${length} bytes`);
  });
});
