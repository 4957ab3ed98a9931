/**
 * Checks that no folder of `src` imports from a higher one and that no files import
 * each other in a cycle.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { judgeLayers, type LayerException, type SourceFile } from "./layers.ts";

const SHARED = "all roles serve pages by it, though it is in src/process";
const TIMERS = "timers of all roles record how late they fire";
const METRICS = "drivers count what the pages of their process show";
const SETTINGS = "drivers take the settings of their process as parsed there";
const SHUTDOWN = "drivers implement the interface that drains a process";
const STAND_INS = "tests of whole processes start stand-ins";

const EXCEPTIONS: readonly LayerException[] = [
  ...["entry", "target", "direct"].flatMap((role) => [
    exceptionOf(role, "http_listener", SHARED),
    exceptionOf(role, "metrics", METRICS),
    exceptionOf(role, "process_settings", SETTINGS),
    exceptionOf(role, "shutdown", SHUTDOWN),
  ]),
  {
    from: "src/main.ts",
    to: "platform/mod.ts",
    reason: "the program puts the adapter of the platform in",
  },
  {
    from: "src/testing/process_cluster.ts",
    to: "standins/key_value_stand_in.ts",
    reason: STAND_INS,
  },
  {
    from: "src/testing/process_cluster.ts",
    to: "standins/machine_list_stand_in.ts",
    reason: STAND_INS,
  },
  exceptionOf("entry", "hono_listener", SHARED),
  exceptionOf("target", "hono_listener", SHARED),
  exceptionOf("entry", "measured_timer", TIMERS),
  exceptionOf("direct", "measured_timer", TIMERS),
  exceptionOf("direct", "process_metrics", METRICS),
  exceptionOf("direct", "text_pages", SHARED),
];

function exceptionOf(
  role: string,
  name: string,
  reason: string,
): LayerException {
  return { from: `src/${role}/`, to: `src/process/${name}.ts`, reason };
}

function readSources(): readonly SourceFile[] {
  return readdirSync("src", { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .map((file) => join("src", file))
    .sort()
    .map((path) => ({ path, text: readFileSync(path, "utf8") }));
}

const { upward, unused, cycles } = judgeLayers(readSources(), EXCEPTIONS);
for (const { from, to, reason } of EXCEPTIONS) {
  console.log(`allowed: ${from} imports ${to} (${reason})`);
}
for (const { from, to } of upward) {
  console.error(
    `${from} must not import ${to}: its folder is higher (scripts/layers.ts)`,
  );
}
for (const { from, to } of unused) {
  console.error(
    `Unused exception: ${from} imports ${to}; remove it from EXCEPTIONS`,
  );
}
for (const cycle of cycles) console.error(`Cycle: ${cycle.join(" -> ")}`);
process.exit(upward.length + unused.length + cycles.length === 0 ? 0 : 1);
