/**
 * Starts a process of any role.
 *
 * @module
 */
import process from "node:process";
import type { EventLog } from "../events/event_log.ts";
import { type Drainable, drainOnSignal } from "../process/shutdown.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

/** A process that can be started and drained. */
export interface RunnableProcess extends Drainable {
  start(): Promise<void>;
}

/** Options of {@link runProcess}. */
export interface RunProcessOptions {
  readonly log: EventLog;
  readonly drainLimitMs: number;
}

/** Starts a process; returns an exit code only if it could not start. */
export async function runProcess(
  runnable: RunnableProcess,
  options: RunProcessOptions,
): Promise<ExitCode | undefined> {
  try {
    await runnable.start();
  } catch (error) {
    options.log.write("START_FAILED", { cause: String(error) });
    options.log.flush();
    process.exitCode = EXIT_CODES.FAILED;
    await runnable.close();
    return EXIT_CODES.FAILED;
  }
  drainOnSignal(runnable, options);
  return undefined;
}
