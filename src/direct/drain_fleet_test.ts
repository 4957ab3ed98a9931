/**
 * Guards against requests that reach drained targets too late. A fleet of entries serves
 * callers while an operator drains a failure domain, whose VMs are taken away some
 * seconds after the store has acknowledged the drain. The tests check when the last
 * request arrives at a target there.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  DRAINED_AT_MS,
  DrainFleet,
  type DrainFleetOptions,
} from "../testing/drain_fleet.ts";

/** Milliseconds after the acknowledgement by which the last request must have arrived. */
const BOUND_MS = 5000;
/** The same bound while the store is unstable. */
const UNSTABLE_BOUND_MS = BOUND_MS + 6000;
/** Milliseconds that a run continues after its bound. */
const BEYOND_BOUND_MS = 3500;
const SIZES = [3, 41, 720] as const;
/** Longer than any run, so that a fault lasts until the end. */
const UNTIL_THE_END_MS = 60_000;

interface FaultRow {
  readonly name: string;
  readonly faults: DrainFleetOptions["faults"];
  readonly boundMs: number;
}

const ROWS: readonly FaultRow[] = [
  { name: "without faults", faults: [], boundMs: BOUND_MS },
  {
    name: "while the first reader's watch receives nothing",
    faults: [{
      kind: "silent_watch",
      entry: 0,
      at: DRAINED_AT_MS - 300,
      forMs: UNTIL_THE_END_MS,
    }],
    boundMs: BOUND_MS,
  },
  {
    name: "while the first reader is frozen from then on",
    faults: [{
      kind: "stands_still",
      entry: 0,
      at: DRAINED_AT_MS - 1,
      forMs: UNTIL_THE_END_MS,
    }],
    boundMs: BOUND_MS,
  },
  {
    name: "while two readers are cut off from the other entries",
    faults: [0, 1].map((entry) => ({
      kind: "cut_off",
      entry,
      at: DRAINED_AT_MS - 500,
      forMs: UNTIL_THE_END_MS,
    })),
    boundMs: BOUND_MS,
  },
  {
    name: "while the store is unstable",
    faults: [{
      kind: "unstable_store",
      at: DRAINED_AT_MS - 3000,
      forMs: UNTIL_THE_END_MS,
    }],
    boundMs: UNSTABLE_BOUND_MS,
  },
  {
    name: "while the store loses the drain for a second and a half",
    faults: [{
      kind: "store_goes_back",
      at: DRAINED_AT_MS + 4000,
      forMs: 1500,
    }],
    boundMs: BOUND_MS,
  },
];

describe("the last request to a drained target arrives in time", () => {
  for (const entries of SIZES) {
    for (const { name, faults, boundMs } of ROWS) {
      it(`from ${entries} entries, ${name}`, (context) => {
        const result = new DrainFleet({
          seed: entries,
          entries,
          requestsPerSecond: 300,
          leavingLimitMs: 2000,
          faults,
        }).run(DRAINED_AT_MS + boundMs + BEYOND_BOUND_MS);
        const lastMs = Math.max(result.lastArrivalMs, result.lastInForceMs);
        context.diagnostic(
          `drain in force everywhere after ${
            Math.round(result.lastInForceMs)
          } ms, last arrival after ` +
            `${Math.round(result.lastArrivalMs)} ms of ${result.requests}`,
        );
        assert.ok(result.arrivalsBeforeDrain > 0);
        assert.ok(lastMs <= boundMs, `${lastMs} ms`);
        assert.equal(result.unservedRequests, 0);
      });
    }
  }
});
