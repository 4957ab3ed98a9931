/**
 * Runs the benchmarks: `npm run bench` for all, or `npm run bench -- placement` for one.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { runChoiceBench } from "./choice_bench.ts";
import { runLimitsBench, runRetryBench } from "./limits_bench.ts";
import { runPathBench } from "./path_bench.ts";
import { runPlacementBench } from "./placement_bench.ts";
import { writePlots } from "./plots.ts";
import { measureControlMessages, runSizeBench } from "./size_bench.ts";
import { formatTable, type TableRow } from "./table.ts";

const RESULTS_FOLDER = "docs/bench";

interface Bench {
  readonly name: string;
  readonly run: () => Promise<readonly TableRow[]>;
}

const BENCHES: readonly Bench[] = [
  {
    name: "placement",
    run: () => Promise.resolve(toTableRows(runPlacementBench())),
  },
  {
    name: "placement-late-reports",
    run: () =>
      Promise.resolve(toTableRows(runPlacementBench({
        faults: { lagIntervals: 3, missingFraction: 0.2 },
        shapes: ["32 ranks, 128 experts, 32 spare"],
      }))),
  },
  { name: "choice", run: () => Promise.resolve(toTableRows(runChoiceBench())) },
  { name: "limits", run: () => Promise.resolve(toTableRows(runLimitsBench())) },
  { name: "retries", run: () => Promise.resolve(toTableRows(runRetryBench())) },
  { name: "size", run: async () => toTableRows(await runSizeBench()) },
  {
    name: "messages",
    run: () =>
      Promise.resolve(
        Object.entries(measureControlMessages())
          .map(([message, bytes]) => ({ message, bytes })),
      ),
  },
  {
    name: "path",
    run: async () => {
      const { ways, roles } = await runPathBench();
      process.stdout.write(`${formatTable(toTableRows(ways))}\n\n`);
      return toTableRows(roles);
    },
  },
];

/** Returns results, which are plain objects of strings and numbers, as table rows. */
function toTableRows(results: readonly object[]): readonly TableRow[] {
  return results as readonly TableRow[];
}

async function run(benchNames: readonly string[]): Promise<void> {
  mkdirSync(RESULTS_FOLDER, { recursive: true });
  for (const bench of BENCHES) {
    if (benchNames.length > 0 && !benchNames.includes(bench.name)) continue;
    const results = await bench.run();
    process.stdout.write(`## ${bench.name}\n\n${formatTable(results)}\n\n`);
    const json = JSON.stringify(results, undefined, 2);
    writeFileSync(`${RESULTS_FOLDER}/${bench.name}.json`, `${json}\n`);
  }
  writePlots(RESULTS_FOLDER);
}

await run(process.argv.slice(2));
