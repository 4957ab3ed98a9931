import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { parse } from "yaml";
import { z } from "zod";
import { CHOICE_WORKLOADS, runChoiceBench } from "./choice_bench.ts";
import { runLimitsBench } from "./limits_bench.ts";
import { createPlanners, runPlacementBench } from "./placement_bench.ts";

const BOUND_SCHEMA = z.array(z.strictObject({
  bench: z.enum(["placement", "choice", "limits"]),
  row: z.record(z.string(), z.union([z.string(), z.number()])),
  value: z.string(),
  most: z.number().optional(),
  least: z.number().optional(),
  reason: z.string(),
}));

type Bound = z.infer<typeof BOUND_SCHEMA>[number];
type Row = Readonly<Record<string, string | number>>;

const BOUNDS = BOUND_SCHEMA.parse(
  parse(readFileSync(new URL("bounds.yaml", import.meta.url), "utf8")),
);

/** Values that the bounds name in a column, so that no more is run. */
function namedValues(bench: Bound["bench"], column: string): Set<unknown> {
  return new Set(
    BOUNDS.filter((bound) => bound.bench === bench)
      .map((bound) => bound.row[column]),
  );
}

function runPlacement(): readonly object[] {
  const planners = Object.entries(createPlanners())
    .filter(([name]) => namedValues("placement", "planner").has(name));
  return runPlacementBench({
    planners: Object.fromEntries(planners),
    shapes: [...namedValues("placement", "shape")] as string[],
    workloads: [...namedValues("placement", "workload")] as "season"[],
  });
}

function runChoice(): readonly object[] {
  const workloads = CHOICE_WORKLOADS.filter((workload) =>
    namedValues("choice", "workload").has(workload.name)
  );
  return runChoiceBench({ workloads, choices: ["ours"] });
}

describe("regression bounds of the benches", () => {
  const results = new Map<string, readonly Row[]>([
    ["placement", runPlacement() as readonly Row[]],
    ["choice", runChoice() as readonly Row[]],
    ["limits", runLimitsBench() as readonly object[] as readonly Row[]],
  ]);

  for (const bound of BOUNDS) {
    const where = Object.values(bound.row).join(", ");
    it(`${bound.bench}, ${where}: ${bound.value}`, (context) => {
      const row = results.get(bound.bench)?.find((one) =>
        Object.entries(bound.row).every(([name, value]) => one[name] === value)
      );
      const value = Number(row?.[bound.value]);
      context.diagnostic(`${value} (${bound.reason})`);
      assert.ok(Number.isFinite(value), "The bound names no figure");
      assert.ok(value <= (bound.most ?? Number.POSITIVE_INFINITY));
      assert.ok(value >= (bound.least ?? Number.NEGATIVE_INFINITY));
    });
  }
});
