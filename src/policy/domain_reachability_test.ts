/**
 * Guards against callers that wait for connections in vain while a failure domain is cut
 * off for some seconds: callers keep sending to its entries, whose targets are mostly on
 * the other side of the partition.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  DomainReachability,
  type TargetLocation,
} from "./domain_reachability.ts";

function createTargets(
  failureDomain: string,
  count: number,
): readonly TargetLocation[] {
  return Array.from({ length: count }, (_, number) => ({
    name: `${failureDomain}-${number}`,
    pool: "drafts",
    failureDomain,
  }));
}

const FAR = createTargets("far", 4);
const NEAR = createTargets("near", 2);

/** Fails connections to some targets of the far domain, 100 ms apart. */
function createPartition(failures: number): DomainReachability {
  const reachability = new DomainReachability();
  FAR.slice(0, failures).forEach((target, number) =>
    reachability.recordFailed(target, { tookMs: 400, now: number * 100 })
  );
  return reachability;
}

describe("a failure domain whose targets cannot be connected to", () => {
  it("is sent only probes, so that callers do not wait for connections in vain", () => {
    const reachability = createPartition(3);
    assert.deepEqual(reachability.unreachable, ["far"]);
    assert.equal(reachability.filter(FAR, 300).length, 4);
    reachability.recordSent(FAR[0] as TargetLocation, 300);
    assert.equal(reachability.filter(FAR, 310).length, 0);
    assert.equal(reachability.filter(FAR, 600).length, 4);
  });

  it("is probed less often while targets of other domains serve", () => {
    const reachability = createPartition(3);
    reachability.recordSent(FAR[0] as TargetLocation, 300);
    const targets = [...FAR, ...NEAR];
    assert.deepEqual(reachability.filter(targets, 1000), NEAR);
    assert.equal(reachability.filter(targets, 2400).length, 6);
  });

  // Guards against probes of one pool suppressing those of another.
  it("is probed for each pool separately", () => {
    const reachability = createPartition(3);
    const others = FAR.map((target) => ({ ...target, pool: "orders" }));
    reachability.recordSent(FAR[0] as TargetLocation, 300);
    assert.equal(reachability.filter(FAR, 310).length, 0);
    assert.equal(reachability.filter(others, 310).length, 4);
  });

  it("is used again once one of its targets answers", () => {
    const reachability = createPartition(3);
    reachability.recordSent(FAR[0] as TargetLocation, 300);
    assert.equal(reachability.recordReached(FAR[1] as TargetLocation), true);
    assert.equal(reachability.filter(FAR, 310).length, 4);
  });
});

describe("a failure domain with some crashed targets", () => {
  it("stays reachable with two failed targets", () => {
    const reachability = createPartition(2);
    assert.deepEqual(reachability.unreachable, []);
  });

  it("stays reachable when one target fails repeatedly", () => {
    const reachability = new DomainReachability();
    for (let at = 0; at < 1000; at += 100) {
      reachability.recordFailed(FAR[0] as TargetLocation, {
        tookMs: 400,
        now: at,
      });
    }
    assert.deepEqual(reachability.unreachable, []);
  });

  it("stays reachable while its targets answer between failures", () => {
    const reachability = new DomainReachability();
    for (const target of FAR) {
      reachability.recordFailed(target, { tookMs: 400, now: 0 });
      reachability.recordReached(target);
    }
    assert.deepEqual(reachability.unreachable, []);
  });

  it("stays reachable when targets fail seconds apart", () => {
    const reachability = new DomainReachability();
    FAR.forEach((target, number) =>
      reachability.recordFailed(target, { tookMs: 400, now: number * 2000 })
    );
    assert.deepEqual(reachability.unreachable, []);
  });

  it("reports once that it became unreachable", () => {
    const reachability = createPartition(2);
    const [, , third, fourth] = FAR as readonly TargetLocation[];
    assert.ok(third !== undefined && fourth !== undefined);
    const recordFailureAt = (target: TargetLocation, now: number) =>
      reachability.recordFailed(target, { tookMs: 400, now });
    assert.equal(recordFailureAt(third, 200), true);
    assert.equal(recordFailureAt(fourth, 300), false);
  });

  // Guards against a crashed service making its failure domain unreachable for others.
  it("stays reachable when its targets refuse connections immediately", () => {
    const reachability = new DomainReachability();
    FAR.forEach((target, number) =>
      reachability.recordFailed(target, { tookMs: 2, now: number * 100 })
    );
    assert.deepEqual(reachability.unreachable, []);
  });

  // Guards against an entry that was frozen treating its targets as unreachable.
  it("stays reachable when all connections fail at the same moment", () => {
    const reachability = new DomainReachability();
    for (const target of FAR) {
      reachability.recordFailed(target, { tookMs: 3000, now: 0 });
    }
    assert.deepEqual(reachability.unreachable, []);
  });
});
