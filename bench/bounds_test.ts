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

/** Returns the values of a column that bounds refer to, so that only these are run. */
function getBoundedValues(bench: Bound["bench"], column: string): Set<unknown> {
  return new Set(
    BOUNDS.filter((bound) => bound.bench === bench)
      .map((bound) => bound.row[column]),
  );
}

function runPlacement(): readonly object[] {
  const planners = Object.entries(createPlanners())
    .filter(([name]) => getBoundedValues("placement", "planner").has(name));
  return runPlacementBench({
    planners: Object.fromEntries(planners),
    shapes: [...getBoundedValues("placement", "shape")] as string[],
    workloads: [...getBoundedValues("placement", "workload")] as "season"[],
  });
}

function runChoice(): readonly object[] {
  const workloads = CHOICE_WORKLOADS.filter((workload) =>
    getBoundedValues("choice", "workload").has(workload.name)
  );
  return runChoiceBench({ workloads, choices: ["ours"] });
}

describe("regression bounds of the benchmarks", () => {
  const results = new Map<string, readonly Row[]>([
    ["placement", runPlacement() as readonly Row[]],
    ["choice", runChoice() as readonly Row[]],
    ["limits", runLimitsBench() as readonly object[] as readonly Row[]],
  ]);

  for (const bound of BOUNDS) {
    const rowLabel = Object.values(bound.row).join(", ");
    it(`${bound.bench}, ${rowLabel}: ${bound.value}`, (context) => {
      const row = results.get(bound.bench)?.find((candidate) =>
        Object.entries(bound.row).every(([name, value]) =>
          candidate[name] === value
        )
      );
      const value = Number(row?.[bound.value]);
      context.diagnostic(`${value} (${bound.reason})`);
      assert.ok(
        Number.isFinite(value),
        "The results have no number for this bound",
      );
      assert.ok(value <= (bound.most ?? Number.POSITIVE_INFINITY));
      assert.ok(value >= (bound.least ?? Number.NEGATIVE_INFINITY));
    });
  }
});
