/**
 * `lagoonwharf target`: runs the process in the slot of a target VM.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { EventLog } from "../events/event_log.ts";
import { HttpBackEnd } from "../external/http_back_end.ts";
import { HttpRankEngine } from "../external/http_rank_engine.ts";
import {
  readProcessSettings,
  TARGET_PROCESS_SCHEMA,
} from "../process/process_settings.ts";
import { TargetDriver } from "../target/target_driver.ts";
import type { ExitCode } from "./exit_codes.ts";
import { printFindings } from "./print_findings.ts";
import { createPlatform } from "./platform_services.ts";
import { runProcess } from "./run_process.ts";

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
  const driver = new TargetDriver({
    settings,
    incarnation: randomUUID(),
    backEnd: new HttpBackEnd({
      address: settings.backEndAddress,
      maxConnections: settings.concurrency,
    }),
    rankEngine: settings.group === undefined
      ? undefined
      : new HttpRankEngine(settings.group.engineAddress),
    ...createPlatform(settings),
    log,
  });
  const { drainLimitMs } = settings;
  return await runProcess(driver, { log, drainLimitMs });
}
