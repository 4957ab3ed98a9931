import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { joinRevision } from "../external/store_revision.ts";
import { DrainedDomains, KEPT_MS } from "./drained_domains.ts";

interface Heard {
  readonly at: number;
  readonly era?: number;
  readonly revision: number;
  readonly drained: readonly string[];
}

interface DrainedRow {
  readonly name: string;
  readonly heard: readonly Heard[];
  readonly at: number;
  readonly inForce: readonly string[];
}

const BEFORE: Heard = { at: 0, revision: 900, drained: ["a", "b"] };
const RESTORED: Heard = { at: 100, era: 2, revision: 5, drained: ["b"] };
const KEPT_END = RESTORED.at + KEPT_MS;

/**
 * A drain that is missed for a moment sends requests to machines that operators take away; one
 * that outlives its removal keeps machines idle.
 */
const ROWS: readonly DrainedRow[] = [
  {
    name: "stale news changes nothing",
    heard: [BEFORE, { at: 10, revision: 800, drained: [] }],
    at: 20,
    inForce: ["a", "b"],
  },
  {
    name: "a newer set ends a drain at once",
    heard: [BEFORE, { at: 10, revision: 901, drained: ["b"] }],
    at: 10,
    inForce: ["b"],
  },
  {
    name: "a drain that a restored store lacks stays",
    heard: [BEFORE, RESTORED],
    at: KEPT_END - 1,
    inForce: ["a", "b"],
  },
  {
    name: "it ends when nobody writes it again",
    heard: [BEFORE, RESTORED],
    at: KEPT_END,
    inForce: ["b"],
  },
  {
    name: "it goes on when it is written again in time",
    heard: [BEFORE, RESTORED, {
      at: 900,
      era: 2,
      revision: 6,
      drained: ["a", "b"],
    }],
    at: KEPT_END + 1,
    inForce: ["a", "b"],
  },
  {
    name: "other changes in the new era do not end it",
    heard: [BEFORE, RESTORED, { at: 900, era: 2, revision: 7, drained: [] }],
    at: 1000,
    inForce: ["a"],
  },
  {
    name: "a second restore keeps what the first one kept",
    heard: [BEFORE, RESTORED, { at: 2000, era: 3, revision: 2, drained: [] }],
    at: KEPT_END + 1,
    inForce: ["a", "b"],
  },
  {
    name: "news of the era before changes nothing",
    heard: [BEFORE, RESTORED, { at: 200, revision: 950, drained: ["c"] }],
    at: 300,
    inForce: ["a", "b"],
  },
];

describe("drained failure domains", () => {
  for (const { name, heard, at, inForce } of ROWS) {
    it(name, () => {
      const drains = new DrainedDomains();
      for (const { era = 1, revision, drained, at: heardAt } of heard) {
        const joined = joinRevision({ era, revision });
        drains.take({ revision: joined, failureDomains: drained }, heardAt);
      }
      assert.deepEqual(drains.listInForce(at), inForce);
    });
  }
});
