/**
 * Logs why an order to an engine, or the handling of its answer, failed.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import { logInternalFault } from "../../events/internal_faults.ts";
import { FormedEngineUnavailableError } from "../../external/formed_engine.ts";

/** Which engine was called; absent for the one on this VM. */
export interface CalledEngine {
  readonly rank?: number;
}

/**
 * Logs a failed call of an engine. Only an engine that did not answer counts as
 * unreachable; any other exception is an error of this program.
 *
 * @example
 * ```ts
 * agent.execute(order, send).catch((error) => logEngineFault(log, error, { rank }));
 * ```
 */
export function logEngineFault(
  log: EventLog,
  error: unknown,
  { rank }: CalledEngine = {},
): void {
  if (error instanceof FormedEngineUnavailableError) {
    log.write("ENGINE_UNREACHABLE", { rank, cause: String(error) });
  } else {
    logInternalFault(log, "an answer of an engine", error);
  }
}
