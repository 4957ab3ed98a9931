/**
 * `lagoonwharf entry`: runs the process of an entry VM.
 *
 * @module
 */
import { randomInt, randomUUID } from "node:crypto";
import process from "node:process";
import { EntryDriver } from "../entry/entry_driver.ts";
import { EventLog } from "../events/event_log.ts";
import { HttpKeyValueService } from "../platform/http_key_value_service.ts";
import { HttpVirtualMachineList } from "../platform/http_virtual_machine_list.ts";
import {
  ENTRY_PROCESS_SCHEMA,
  readProcessSettings,
} from "../process/process_settings.ts";
import { drainOnSignal } from "../process/shutdown.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { printFindings } from "./print_findings.ts";

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
  const { keyValueAddress, machineListAddress } = settings;
  const driver = new EntryDriver({
    settings,
    incarnation: randomUUID(),
    keyValueService: keyValueAddress === undefined
      ? undefined
      : new HttpKeyValueService(keyValueAddress),
    machineList: machineListAddress === undefined
      ? undefined
      : new HttpVirtualMachineList(machineListAddress),
    log,
    seed: randomInt(SEED_LIMIT),
  });
  try {
    await driver.start();
  } catch (error) {
    log.write("START_FAILED", { cause: String(error) });
    process.exitCode = EXIT_CODES.FAILED;
    await driver.close();
    return EXIT_CODES.FAILED;
  }
  drainOnSignal(driver, { log, drainLimitMs: settings.drainLimitMs });
  return undefined;
}
