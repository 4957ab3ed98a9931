import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type Action,
  GroupSimulation,
  RANKS,
  STEPS_AFTER_HEALING,
} from "../testing/group_simulation.ts";

const SEED = 20261202;
const RUNS = 600;

function createActionArbitrary(
  weights: Readonly<Record<Action["kind"], number>>,
): fc.Arbitrary<Action> {
  const kinds = Object.entries(weights).map(([kind, weight]) => ({
    weight,
    arbitrary: fc.constant(kind as Action["kind"]),
  }));
  return fc.record({
    kind: fc.oneof(...kinds),
    rank: fc.nat(RANKS - 1),
    choice: fc.nat(250),
  });
}

const NO_FAULT_WEIGHTS = {
  deliver: 12,
  answer: 12,
  order: 8,
  step: 8,
  tick: 4,
  propose: 3,
  flow: 16,
  restart_member: 0,
  replace_rank: 0,
  cut: 0,
  join: 0,
};

interface FaultRow {
  readonly name: string;
  readonly weights: Readonly<Record<Action["kind"], number>>;
  readonly checksFencing: boolean;
}

const FAULT_ROWS: readonly FaultRow[] = [
  {
    name: "late and reordered messages",
    weights: NO_FAULT_WEIGHTS,
    checksFencing: true,
  },
  {
    name: "processes restarted without state",
    weights: { ...NO_FAULT_WEIGHTS, restart_member: 2 },
    checksFencing: true,
  },
  {
    name: "processes restarted, engines ignoring fencing numbers",
    weights: { ...NO_FAULT_WEIGHTS, restart_member: 2 },
    checksFencing: false,
  },
  {
    name: "ranks replaced",
    weights: { ...NO_FAULT_WEIGHTS, replace_rank: 1 },
    checksFencing: true,
  },
  {
    name: "ranks disconnected and reconnected",
    weights: { ...NO_FAULT_WEIGHTS, cut: 2, join: 2 },
    checksFencing: true,
  },
  {
    name: "all faults together",
    weights: {
      ...NO_FAULT_WEIGHTS,
      restart_member: 1,
      replace_rank: 1,
      cut: 1,
      join: 1,
    },
    checksFencing: false,
  },
];

describe("switch of the expert map under faults", () => {
  for (const row of FAULT_ROWS) {
    it(`runs each step with one map on every rank: ${row.name}`, () => {
      let committed = 0;
      fc.assert(
        fc.property(
          fc.array(createActionArbitrary(row.weights), {
            minLength: 20,
            maxLength: 200,
          }),
          (actions) => {
            const simulation = new GroupSimulation(row);
            simulation.heal();
            const initialStep = simulation.lowestStep;
            assert.ok(
              initialStep >= STEPS_AFTER_HEALING,
              "The group did not start stepping",
            );
            for (const action of actions) simulation.act(action);
            const steps = simulation.versionByStep.size;
            simulation.heal();
            assert.ok(
              simulation.versionByStep.size >= steps + STEPS_AFTER_HEALING,
              "A rank did not learn a decision that is available",
            );
            assert.ok(
              simulation.isIdle,
              "A rank did not learn the last decision",
            );
            committed += simulation.committedSwitches;
          },
        ),
        { seed: SEED, numRuns: RUNS, includeErrorInReport: true },
      );
      assert.ok(
        committed > RUNS,
        "Too few committed switches to be conclusive",
      );
    });
  }
});
