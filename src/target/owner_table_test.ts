import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SLOT_COUNT } from "../core/idempotency_key.ts";
import {
  type ClaimContext,
  createOwnerTable,
  getOwnedSlots,
  type OwnerTable,
  tryClaim,
  tryParseOwnerTable,
  tryRelease,
  UNRESTRICTED_CLAIM_DELAY_MS,
} from "./owner_table.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

const NOW = 1_000_000;

function createContext(changes: Partial<ClaimContext> = {}): ClaimContext {
  return {
    targetName: "one",
    incarnation: "1",
    wallNow: NOW,
    liveTargets: 2,
    isGone: () => false,
    ...changes,
  };
}

function claim(
  table: OwnerTable,
  changes: Partial<ClaimContext> = {},
): OwnerTable {
  return tryClaim(table, createContext(changes)) ?? table;
}

function countSlotsOf(table: OwnerTable, targetName: string): number {
  return table.slots.filter((slot) =>
    slot.kind === "taken" && slot.targetName === targetName
  ).length;
}

describe("owner table", () => {
  it("divides free slots among the live targets", () => {
    let table = claim(createOwnerTable(NOW));
    table = claim(table, { targetName: "two" });
    assert.equal(countSlotsOf(table, "one"), SLOT_COUNT / 2);
    assert.equal(countSlotsOf(table, "two"), SLOT_COUNT / 2);
  });

  it("claims no free slot while the number of live targets is unknown", () => {
    const liveTargets = Number.POSITIVE_INFINITY;
    const table = createOwnerTable(NOW);
    assert.equal(tryClaim(table, createContext({ liveTargets })), undefined);
    const wallNow = NOW + UNRESTRICTED_CLAIM_DELAY_MS;
    const later = claim(table, { liveTargets, wallNow });
    assert.equal(
      countSlotsOf(later, "one"),
      SLOT_COUNT,
      "Any target may claim slots that stay free",
    );
  });

  it("moves no slot because of elapsed time alone", () => {
    const table = claim(createOwnerTable(NOW), { liveTargets: 1 });
    const wallNow = NOW + 365 * 86_400_000;
    const other = createContext({ targetName: "two", wallNow });
    assert.equal(tryClaim(table, other), undefined);
  });

  it("claims the slots of a VM that is gone, with the time of the move", () => {
    const table = claim(createOwnerTable(NOW), { liveTargets: 1 });
    const moved = claim(table, {
      targetName: "two",
      liveTargets: 1,
      wallNow: NOW + 5,
      isGone: (name) => name === "one",
    });
    const { slots } = getOwnedSlots(moved, {
      targetName: "two",
      incarnation: "1",
    });
    assert.equal(slots.length, SLOT_COUNT);
    assert.ok(slots.every((slot) => slot.movedAt === NOW + 5));
  });

  it("claims the slots of its own VM for its new process", () => {
    const table = claim(createOwnerTable(NOW), { liveTargets: 1 });
    const moved = claim(table, { incarnation: "2", wallNow: NOW + 5 });
    const old = getOwnedSlots(moved, { targetName: "one", incarnation: "1" });
    assert.equal(old.slots.length, 0);
    assert.equal(countSlotsOf(moved, "one"), SLOT_COUNT);
  });

  it("moves released slots as of the time of their release", () => {
    const table = claim(createOwnerTable(NOW), { liveTargets: 1 });
    const released = tryRelease(table, {
      targetName: "one",
      incarnation: "1",
      wallNow: NOW + 5,
      address: createSocketAddress("127.0.0.1:1"),
    });
    assert.ok(released !== undefined);
    const moved = claim(released, {
      targetName: "two",
      liveTargets: 1,
      wallNow: NOW + 9,
    });
    const { slots } = getOwnedSlots(moved, {
      targetName: "two",
      incarnation: "1",
    });
    assert.ok(slots.every((slot) => slot.movedAt === NOW + 5));
  });

  it("round-trips through JSON and rejects unsupported formats", () => {
    const table = claim(createOwnerTable(NOW));
    assert.deepEqual(tryParseOwnerTable(JSON.stringify(table)), table);
    for (const text of ["", "{}", '{"format":2}', "[]"]) {
      assert.equal(tryParseOwnerTable(text), undefined);
    }
  });
});
