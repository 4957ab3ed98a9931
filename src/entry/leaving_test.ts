import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestSimulation } from "../testing/request_simulation.ts";

/** Which processes learn that the first target is leaving, and how. */
interface LeavingRow {
  readonly name: string;
  readonly leave: (simulation: RequestSimulation) => void;
  /** Maximum time until its last new run starts, in virtual milliseconds. */
  readonly boundMs: number;
}

const LEAVING = 0;
const ENTRIES = 2;
const CONCURRENT_REQUESTS = 8;
const READ_INTERVAL_MS = 2000;
const STEP_MS = 100;
const OBSERVED_MS = 10_000;

/** Applies the list or the settings after one more read interval. */
function afterReadInterval(
  simulation: RequestSimulation,
  apply: () => void,
): void {
  simulation.scheduleAt(simulation.now + READ_INTERVAL_MS, apply);
}

const LEAVING_ROWS: readonly LeavingRow[] = [
  {
    name: "by signal, received by every entry",
    leave: (simulation) => simulation.drain(LEAVING),
    boundMs: STEP_MS,
  },
  {
    name: "by signal, not received by one entry",
    leave: (simulation) => {
      simulation.drain(LEAVING);
      simulation.dropNextMessage(1, LEAVING);
    },
    boundMs: STEP_MS,
  },
  {
    name: "by the list, read only by the target",
    leave: (simulation) =>
      afterReadInterval(simulation, () => simulation.setLeaving(LEAVING, true)),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
  {
    name: "by the list, read only by the entries",
    leave: (simulation) =>
      afterReadInterval(
        simulation,
        () => simulation.listLeaving([0, 1], LEAVING),
      ),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
  {
    name: "by settings, read only by the target",
    leave: (simulation) =>
      afterReadInterval(simulation, () => simulation.setLeaving(LEAVING, true)),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
  {
    name: "by settings, read only by the entries",
    leave: (simulation) =>
      afterReadInterval(
        simulation,
        () => simulation.setLeavingBySettings([0, 1], LEAVING),
      ),
    boundMs: READ_INTERVAL_MS + STEP_MS,
  },
];

describe("a target that is leaving", () => {
  for (const row of LEAVING_ROWS) {
    it(`gets no new requests after a few seconds: ${row.name}`, (context) => {
      const simulation = new RequestSimulation({
        entries: ENTRIES,
        targets: 2,
      });
      sendRequests(simulation, 1000);
      for (let entry = 0; entry < ENTRIES; entry++) {
        const served = simulation.countRuns(LEAVING, entry);
        assert.ok(served > 0, `No request of entry ${entry} ran before`);
      }
      const leftAt = simulation.now;
      row.leave(simulation);
      sendRequests(simulation, OBSERVED_MS);
      const last = simulation.getLastRunAt(LEAVING) - leftAt;
      context.diagnostic(`last new run after ${Math.max(0, last)} ms`);
      assert.ok(last <= row.boundMs, `${last} ms until the last new run`);
    });
  }
});

/** Sends requests through both entries for some virtual milliseconds. */
function sendRequests(
  simulation: RequestSimulation,
  milliseconds: number,
): void {
  const end = simulation.now + milliseconds;
  while (simulation.now < end) {
    // Enough concurrent requests that each entry needs the target of the other domain.
    for (let number = 0; number < CONCURRENT_REQUESTS; number++) {
      simulation.submit(number % ENTRIES, { method: "GET" });
    }
    simulation.settle();
    simulation.tick(STEP_MS);
  }
}
