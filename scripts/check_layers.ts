/**
 * Checks that no folder of `src` imports from a higher one and that no files import
 * each other in a cycle.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import {
  type LayerException,
  type SourceFile,
  validateLayers,
} from "./layers.ts";

const SHARED_REASON = "all roles serve HTTP pages with it";
const TIMERS_REASON = "the timers of all roles record how late they fire";
const METRICS_REASON = "drivers record the metrics that their process serves";
const SETTINGS_REASON = "drivers receive the parsed settings of their process";
const SHUTDOWN_REASON = "drivers implement the interface that drains a process";
const STAND_INS_REASON = "tests with real processes start stand-ins";

const EXCEPTIONS: readonly LayerException[] = [
  ...["entry", "target", "direct"].flatMap((role) => [
    createException(role, "http_listener", SHARED_REASON),
    createException(role, "metrics", METRICS_REASON),
    createException(role, "process_settings", SETTINGS_REASON),
    createException(role, "shutdown", SHUTDOWN_REASON),
  ]),
  {
    from: "src/main.ts",
    to: "platform/mod.ts",
    reason: "the program installs the platform adapter",
  },
  {
    from: "src/testing/process_cluster.ts",
    to: "standins/key_value_stand_in.ts",
    reason: STAND_INS_REASON,
  },
  {
    from: "src/testing/process_cluster.ts",
    to: "standins/virtual_machine_list_stand_in.ts",
    reason: STAND_INS_REASON,
  },
  createException("entry", "hono_listener", SHARED_REASON),
  createException("target", "hono_listener", SHARED_REASON),
  createException("entry", "measured_timer", TIMERS_REASON),
  createException("direct", "measured_timer", TIMERS_REASON),
  createException("direct", "process_metrics", METRICS_REASON),
  createException("direct", "text_pages", SHARED_REASON),
];

function createException(
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

const { upward, unused, cycles } = validateLayers(readSources(), EXCEPTIONS);
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
