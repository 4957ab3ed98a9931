import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import { chooseSubset } from "./target_subset.ts";
import { createSocketAddress } from "../testing/socket_addresses.ts";

const DOMAINS = 4;
const TARGETS = 800;
const ENTRIES = 120;
const LIMIT = 100;

function createTargets(count: number): readonly VirtualMachine[] {
  return Array.from({ length: count }, (_, index): VirtualMachine => ({
    name: `target-${index}`,
    address: createSocketAddress(`10.0.0.1:${index}`),
    role: "target",
    failureDomain: String(index % DOMAINS),
    pool: "plan",
    state: "live",
  }));
}

function choose(entry: number, targets: readonly VirtualMachine[]) {
  return chooseSubset(targets, {
    entryName: `entry-${entry}`,
    failureDomain: String(entry % DOMAINS),
    limit: LIMIT,
  });
}

describe("subset of a large pool", () => {
  it("includes all targets of a small pool", () => {
    const targets = createTargets(LIMIT);
    assert.deepEqual(choose(0, targets), targets);
  });

  it("respects the limit, and prefers the entry's failure domain", () => {
    const chosen = choose(1, createTargets(TARGETS));
    assert.equal(chosen.length, LIMIT);
    const near = chosen.filter((target) => target.failureDomain === "1");
    assert.ok(near.length >= LIMIT * 0.75, String(near.length));
    assert.ok(near.length < LIMIT, "Some targets must be in other domains");
  });

  it("spreads entries evenly over the targets", () => {
    const counts = new Map<string, number>();
    for (let entry = 0; entry < ENTRIES; entry++) {
      for (const { name } of choose(entry, createTargets(TARGETS))) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    const mean = ENTRIES * LIMIT / TARGETS;
    assert.equal(counts.size, TARGETS, "A target is chosen by no entry");
    assert.ok(Math.max(...counts.values()) <= 2.5 * mean);
  });

  it("changes by one target when a VM is removed", () => {
    const targets = createTargets(TARGETS);
    const before = choose(0, targets);
    const gone = before[0] as VirtualMachine;
    const after = choose(0, targets.filter((target) => target !== gone));
    const kept = after.filter((target) => before.includes(target));
    assert.equal(kept.length, LIMIT - 1);
  });
});
