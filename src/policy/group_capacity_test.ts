import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type CapacityContext,
  type CapacityReport,
  GroupCapacity,
} from "./group_capacity.ts";

const IDLE_PASS_MS = 35;

function createContext(
  changes: Partial<CapacityContext> = {},
): CapacityContext {
  return {
    now: 0,
    pauseMs: 150,
    idlePassMs: IDLE_PASS_MS,
    slots: 224,
    ...changes,
  };
}

/** Creates a report of passes that each request lengthens by `costMs`. */
function createReport(
  costMs: number,
  changes: Partial<CapacityReport> = {},
): CapacityReport {
  const load = 100;
  return { at: 0, passMs: IDLE_PASS_MS + costMs * load, load, ...changes };
}

function getCapacityAt(
  capacity: GroupCapacity,
  now: number,
): number | undefined {
  const utilization = capacity.tryGet(createContext({ now }));
  return utilization && Math.round(utilization.capacity);
}

describe("capacity of a rank group", () => {
  it("is the number of requests whose passes fit within the pause", () => {
    const capacity = new GroupCapacity();
    capacity.record(createReport(0.5));
    assert.equal(getCapacityAt(capacity, 0), 200);
  });

  it("keeps a short peak of the cost for the duration of an answer", () => {
    const capacity = new GroupCapacity();
    capacity.record(createReport(1, { at: 0 }));
    for (let at = 200; at <= 5800; at += 200) {
      capacity.record(createReport(0.5, { at }));
    }
    assert.equal(getCapacityAt(capacity, 5800), 100);
    capacity.record(createReport(0.5, { at: 6000 }));
    assert.equal(getCapacityAt(capacity, 6000), 200);
  });

  it("does not exceed the slots", () => {
    const capacity = new GroupCapacity();
    capacity.record(createReport(0.1));
    assert.equal(getCapacityAt(capacity, 0), 224);
  });

  it("ignores costs measured with few requests in a nearly idle group", () => {
    const capacity = new GroupCapacity();
    capacity.record({ at: 0, passMs: 45, load: 2 });
    assert.equal(getCapacityAt(capacity, 0), 224);
  });

  it("is unknown once the decider stops reporting", () => {
    const capacity = new GroupCapacity();
    assert.equal(getCapacityAt(capacity, 0), undefined);
    capacity.record(createReport(0.5));
    assert.equal(getCapacityAt(capacity, 1500), 200);
    assert.equal(getCapacityAt(capacity, 1501), undefined);
  });

  it("discards the costs of an earlier epoch", () => {
    const capacity = new GroupCapacity();
    capacity.record(createReport(1, { epoch: 1 }));
    capacity.record(createReport(0.5, { epoch: 2, at: 200 }));
    assert.equal(getCapacityAt(capacity, 200), 200);
  });

  it("drops implausible reports", () => {
    const capacity = new GroupCapacity();
    capacity.record(createReport(0.5));
    const implausible: readonly Partial<CapacityReport>[] = [
      { passMs: Number.NaN },
      { passMs: -1 },
      { passMs: 1e9 },
      { load: -1 },
      { load: Number.POSITIVE_INFINITY },
    ];
    for (const changes of implausible) {
      assert.equal(capacity.record(createReport(0.5, changes)), false);
    }
    assert.equal(getCapacityAt(capacity, 0), 200);
  });

  it("is unknown if even an idle pass takes too long", () => {
    const capacity = new GroupCapacity();
    capacity.record(createReport(0.5));
    const context = createContext({ idlePassMs: 140 });
    assert.equal(capacity.tryGet(context), undefined);
  });
});
