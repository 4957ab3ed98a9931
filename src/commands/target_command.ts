/**
 * `lagoonwharf target`: runs the process in the slot of a target VM.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import process from "node:process";
import { EventLog } from "../events/event_log.ts";
import { HttpBackEnd } from "../platform/http_back_end.ts";
import { HttpKeyValueService } from "../platform/http_key_value_service.ts";
import { HttpRankEngine } from "../platform/http_rank_engine.ts";
import { HttpVirtualMachineList } from "../platform/http_virtual_machine_list.ts";
import {
  readProcessSettings,
  TARGET_PROCESS_SCHEMA,
} from "../process/process_settings.ts";
import { drainOnSignal } from "../process/shutdown.ts";
import { TargetDriver } from "../target/target_driver.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { printFindings } from "./print_findings.ts";

/**
 * Starts a target; returns an exit code only if it could not start.
 *
 * @example
 * ```ts
 * const code = await runTarget("target.yaml");
 * ```
 */
export async function runTarget(file: string): Promise<ExitCode | undefined> {
  const checked = readProcessSettings(file, TARGET_PROCESS_SCHEMA);
  if (checked.isErr()) return printFindings(file, checked.error);
  const settings = checked.value;
  const log = new EventLog({ role: "target", processName: settings.name });
  const { keyValueAddress, machineListAddress } = settings;
  const driver = new TargetDriver({
    settings,
    incarnation: randomUUID(),
    backEnd: new HttpBackEnd({
      address: settings.backEndAddress,
      concurrency: settings.concurrency,
    }),
    rankEngine: settings.group === undefined
      ? undefined
      : new HttpRankEngine(settings.group.engineAddress),
    keyValueService: keyValueAddress === undefined
      ? undefined
      : new HttpKeyValueService(keyValueAddress),
    machineList: machineListAddress === undefined
      ? undefined
      : new HttpVirtualMachineList(machineListAddress),
    log,
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
