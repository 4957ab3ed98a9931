import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type Action,
  GroupWorld,
  RANKS,
  STEPS_AFTER_HEALING,
} from "../testing/group_world.ts";

const SEED = 20261202;
const RUNS = 600;

function actionArbitrary(
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

const QUIET = {
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
  { name: "late and crossed messages", weights: QUIET, checksFencing: true },
  {
    name: "processes restarted without memory",
    weights: { ...QUIET, restart_member: 2 },
    checksFencing: true,
  },
  {
    name: "processes restarted, engines that ignore fencing numbers",
    weights: { ...QUIET, restart_member: 2 },
    checksFencing: false,
  },
  {
    name: "ranks replaced",
    weights: { ...QUIET, replace_rank: 1 },
    checksFencing: true,
  },
  {
    name: "ranks cut off and joined again",
    weights: { ...QUIET, cut: 2, join: 2 },
    checksFencing: true,
  },
  {
    name: "everything at once",
    weights: { ...QUIET, restart_member: 1, replace_rank: 1, cut: 1, join: 1 },
    checksFencing: false,
  },
];

describe("switch of the expert map under faults", () => {
  for (const row of FAULT_ROWS) {
    it(`runs each step with one map on every rank: ${row.name}`, () => {
      let committed = 0;
      fc.assert(
        fc.property(
          fc.array(actionArbitrary(row.weights), {
            minLength: 20,
            maxLength: 200,
          }),
          (actions) => {
            const world = new GroupWorld(row);
            world.heal();
            const before = world.lowestStep;
            assert.ok(before >= STEPS_AFTER_HEALING, "The group never began");
            for (const action of actions) world.act(action);
            const steps = world.versionByStep.size;
            world.heal();
            assert.ok(
              world.versionByStep.size >= steps + STEPS_AFTER_HEALING,
              "A rank waits for a decision that can be known",
            );
            assert.ok(
              world.isIdle,
              "The last decision is not known everywhere",
            );
            committed += world.committed;
          },
        ),
        { seed: SEED, numRuns: RUNS, includeErrorInReport: true },
      );
      assert.ok(committed > RUNS, "Too few switches for the row to mean much");
    });
  }
});
