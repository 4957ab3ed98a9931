import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame } from "../../messages/codec.ts";
import { CountsEncoder } from "./counts_encoder.ts";
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

describe("encoding of counts for a decider", () => {
  it("sends the increase if the decider has the last counts", () => {
    const encoder = new CountsEncoder();
    const first = encoder.encode([[10, 20]], undefined);
    assert.deepEqual(first, { serial: 1, counts: [[10, 20]] });
    const second = encoder.encode([[13, 20]], 1);
    assert.deepEqual(second, { serial: 2, since: 1, counts: [[3, 0]] });
  });

  it("sends full counts to a decider that missed some", () => {
    const encoder = new CountsEncoder();
    encoder.encode([[10]], undefined);
    encoder.encode([[11]], 1);
    assert.deepEqual(encoder.encode([[12]], 1), { serial: 3, counts: [[12]] });
  });

  it("sends full counts when the engine has restarted", () => {
    const encoder = new CountsEncoder();
    encoder.encode([[10, 10]], undefined);
    assert.deepEqual(encoder.encode([[2, 11]], 1), {
      serial: 2,
      counts: [[2, 11]],
    });
  });

  it("needs less than half of the bytes for an increase", () => {
    const encoder = new CountsEncoder();
    const fullBytes = sizeOf(encoder.encode(createCounts(40_000), undefined));
    const increaseBytes = sizeOf(encoder.encode(createCounts(40_050), 1));
    assert.ok(
      increaseBytes < fullBytes / 2,
      `${increaseBytes} and ${fullBytes} bytes`,
    );
  });

  it("yields the same popularity from increases as from full counts", () => {
    const encoder = new CountsEncoder();
    const full = new Popularity();
    const increases = new Popularity();
    let known: number | undefined;
    for (const [index, total] of [5, 9, 30, 31, 80].entries()) {
      const counts = [[total, 2 * total], [0, total]];
      const now = index * 200;
      full.observe(0, counts, now);
      // One answer is lost, so the next one carries full counts.
      const report = encoder.encode(counts, known);
      if (index === 2) continue;
      known = report.serial;
      if (report.since === undefined) increases.observe(0, report.counts, now);
      else increases.observeIncrease(0, report.counts, now);
    }
    assert.equal(increases.isKnown, true);
    const sum = (rows: readonly (readonly number[])[]) =>
      rows.flat().reduce((total, count) => total + count, 0);
    assert.ok(sum(increases.tokens) >= sum(full.tokens));
    full.observe(0, [[100, 160], [0, 100]], 5000);
    increases.observe(0, [[100, 160], [0, 100]], 5000);
    const [fullRow] = full.tokens;
    const [increasesRow] = increases.tokens;
    assert.equal(
      Math.round(fullRow?.[0] ?? -1),
      Math.round(increasesRow?.[0] ?? 0),
    );
  });
});
