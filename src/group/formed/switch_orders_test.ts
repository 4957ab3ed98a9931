import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SwitchOrdersWorld } from "../../testing/switch_orders_world.ts";

const SEEDS = 4000;
const EVENTS = 1500;
/** Over all seeds, so that the runs are known to reach switches. */
const FEWEST_SWITCHES = 1000;

describe("orders of a switch, in any order, late, twice or lost", () => {
  it("never begin a pass with two maps", () => {
    let switches = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const result = new SwitchOrdersWorld(seed).run(EVENTS);
      assert.deepEqual(result.mixedPasses, [], `seed ${seed}`);
      switches += result.switches;
    }
    assert.ok(switches >= FEWEST_SWITCHES, `${switches} switches`);
  });
});
