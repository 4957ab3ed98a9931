import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { joinRevision } from "../external/store_revision.ts";
import { DrainedDomains, KEEP_LOST_MS } from "./drained_domains.ts";

interface DrainUpdate {
  readonly at: number;
  readonly era?: number;
  readonly revision: number;
  readonly drained: readonly string[];
}

interface DrainedRow {
  readonly name: string;
  readonly updates: readonly DrainUpdate[];
  readonly at: number;
  readonly inForce: readonly string[];
}

const BEFORE: DrainUpdate = { at: 0, revision: 900, drained: ["a", "b"] };
const RESTORED: DrainUpdate = { at: 100, era: 2, revision: 5, drained: ["b"] };
const KEPT_END = RESTORED.at + KEEP_LOST_MS;

/**
 * Guards against a drain that is lost for a moment, which sends requests to VMs that
 * operators take away, and against a drain that outlives its removal, which leaves VMs
 * idle.
 */
const ROWS: readonly DrainedRow[] = [
  {
    name: "an older update changes nothing",
    updates: [BEFORE, { at: 10, revision: 800, drained: [] }],
    at: 20,
    inForce: ["a", "b"],
  },
  {
    name: "a newer set ends a drain at once",
    updates: [BEFORE, { at: 10, revision: 901, drained: ["b"] }],
    at: 10,
    inForce: ["b"],
  },
  {
    name: "a drain that is missing from a restored store stays in force",
    updates: [BEFORE, RESTORED],
    at: KEPT_END - 1,
    inForce: ["a", "b"],
  },
  {
    name: "a kept drain expires when it is not written again",
    updates: [BEFORE, RESTORED],
    at: KEPT_END,
    inForce: ["b"],
  },
  {
    name: "a kept drain continues when it is written again in time",
    updates: [BEFORE, RESTORED, {
      at: 900,
      era: 2,
      revision: 6,
      drained: ["a", "b"],
    }],
    at: KEPT_END + 1,
    inForce: ["a", "b"],
  },
  {
    name: "other changes in the new era do not end a kept drain",
    updates: [BEFORE, RESTORED, { at: 900, era: 2, revision: 7, drained: [] }],
    at: 1000,
    inForce: ["a"],
  },
  {
    name: "a second restore keeps the drains that the first one kept",
    updates: [BEFORE, RESTORED, { at: 2000, era: 3, revision: 2, drained: [] }],
    at: KEPT_END + 1,
    inForce: ["a", "b"],
  },
  {
    name: "an update of the previous era changes nothing",
    updates: [BEFORE, RESTORED, { at: 200, revision: 950, drained: ["c"] }],
    at: 300,
    inForce: ["a", "b"],
  },
];

describe("drained failure domains", () => {
  for (const { name, updates, at, inForce } of ROWS) {
    it(name, () => {
      const drains = new DrainedDomains();
      for (const { era = 1, revision, drained, at: receivedAt } of updates) {
        const joined = joinRevision({ era, revision });
        drains.apply({ revision: joined, failureDomains: drained }, receivedAt);
      }
      assert.deepEqual(drains.listInForce(at), inForce);
    });
  }
});
