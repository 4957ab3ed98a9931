/**
 * `lagoonwharf entry`: runs the process of an entry VM.
 *
 * @module
 */
import { randomInt, randomUUID } from "node:crypto";
import { EntryDriver } from "../entry/entry_driver.ts";
import { EventLog } from "../events/event_log.ts";
import {
  ENTRY_PROCESS_SCHEMA,
  readProcessSettings,
} from "../process/process_settings.ts";
import type { ExitCode } from "./exit_codes.ts";
import { printFindings } from "./print_findings.ts";
import { createPlatform } from "./platform_services.ts";
import { runProcess } from "./run_process.ts";

const SEED_LIMIT = 2 ** 31;

/**
 * Starts an entry; returns an exit code only if it could not start.
 *
 * @example
 * ```ts
 * const code = await runEntry("entry.yaml");
 * ```
 */
export async function runEntry(file: string): Promise<ExitCode | undefined> {
  const checked = readProcessSettings(file, ENTRY_PROCESS_SCHEMA);
  if (checked.isErr()) return printFindings(file, checked.error);
  const settings = checked.value;
  const log = new EventLog({ role: "entry", processName: settings.name });
  const driver = new EntryDriver({
    settings,
    incarnation: randomUUID(),
    ...createPlatform(settings),
    log,
    seed: randomInt(SEED_LIMIT),
  });
  const { drainLimitMs } = settings;
  return await runProcess(driver, { log, drainLimitMs });
}
