import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame } from "../../messages/codec.ts";
import { CountsEncoder } from "./counts_memory.ts";
import { Popularity } from "./popularity.ts";
import type {
  CountsReport,
  ExpertCounts,
} from "../../messages/formed_group_types.ts";

function createCounts(total: number): ExpertCounts {
  return Array.from(
    { length: 16 },
    () => Array.from({ length: 96 }, (_, expert) => total + expert % 30),
  );
}

function sizeOf(counts: CountsReport): number {
  return encodeFrame([{
    kind: "rank_report",
    counts,
    state: {
      group: "group",
      epoch: 1,
      rank: 0,
      ranks: 24,
      isOpen: true,
      pass: 1,
      activeVersion: 0,
      running: 1,
      queued: 0,
      pace: 1,
    },
  }]).length;
}

describe("counts as told to a decider", () => {
  it("are what was added, if it has those told before", () => {
    const memory = new CountsEncoder();
    const first = memory.encode([[10, 20]], undefined);
    assert.deepEqual(first, { serial: 1, counts: [[10, 20]] });
    const second = memory.encode([[13, 20]], 1);
    assert.deepEqual(second, { serial: 2, since: 1, counts: [[3, 0]] });
  });

  it("are told in full to a decider that missed some", () => {
    const memory = new CountsEncoder();
    memory.encode([[10]], undefined);
    memory.encode([[11]], 1);
    assert.deepEqual(memory.encode([[12]], 1), { serial: 3, counts: [[12]] });
  });

  it("are told in full when the engine has started anew", () => {
    const memory = new CountsEncoder();
    memory.encode([[10, 10]], undefined);
    assert.deepEqual(memory.encode([[2, 11]], 1), {
      serial: 2,
      counts: [[2, 11]],
    });
  });

  it("take less than half of the bytes", () => {
    const memory = new CountsEncoder();
    const full = sizeOf(memory.encode(createCounts(40_000), undefined));
    const added = sizeOf(memory.encode(createCounts(40_050), 1));
    assert.ok(added < full / 2, `${added} and ${full} bytes`);
  });

  it("make the same popularity either way", () => {
    const memory = new CountsEncoder();
    const inFull = new Popularity();
    const added = new Popularity();
    let known: number | undefined;
    for (const [index, total] of [5, 9, 30, 31, 80].entries()) {
      const counts = [[total, 2 * total], [0, total]];
      const now = index * 200;
      inFull.observe(0, counts, now);
      // One answer is lost, so the next comes in full.
      const report = memory.encode(counts, known);
      if (index === 2) continue;
      known = report.serial;
      if (report.since === undefined) added.observe(0, report.counts, now);
      else added.observeIncrease(0, report.counts, now);
    }
    assert.equal(added.isKnown, true);
    const sum = (rows: readonly (readonly number[])[]) =>
      rows.flat().reduce((total, count) => total + count, 0);
    assert.ok(sum(added.tokens) >= sum(inFull.tokens));
    inFull.observe(0, [[100, 160], [0, 100]], 5000);
    added.observe(0, [[100, 160], [0, 100]], 5000);
    const [fullRow] = inFull.tokens;
    const [addedRow] = added.tokens;
    assert.equal(
      Math.round(fullRow?.[0] ?? -1),
      Math.round(addedRow?.[0] ?? 0),
    );
  });
});
