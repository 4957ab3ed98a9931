import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SwitchOrdersSimulation } from "../../testing/switch_orders_simulation.ts";

const SEEDS = 4000;
const EVENTS = 1500;
/** Minimum number of switches over all seeds, so that the runs cover switches. */
const MIN_SWITCHES = 1000;

describe("orders of a switch that are reordered, late, duplicated or lost", () => {
  it("never cause a pass to begin with two maps", () => {
    let switches = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const result = new SwitchOrdersSimulation(seed).run(EVENTS);
      assert.deepEqual(result.mixedPasses, [], `seed ${seed}`);
      switches += result.switches;
    }
    assert.ok(switches >= MIN_SWITCHES, `${switches} switches`);
  });
});
