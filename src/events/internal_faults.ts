/**
 * Logs exceptions of this program's own code, which must not count as failures of the
 * service whose answer was being handled.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Maximum number of logged characters of a stack. */
const MAX_STACK_LENGTH = 2000;

/**
 * Logs an exception of this program; `handling` names what was being handled.
 *
 * @example
 * ```ts
 * logInternalFault(log, "settings", error);
 * ```
 */
export function logInternalFault(
  log: EventLog,
  handling: string,
  error: unknown,
): void {
  const stack = error instanceof Error ? error.stack : undefined;
  log.write("INTERNAL_FAULT", {
    handling,
    stack: (stack ?? String(error)).slice(0, MAX_STACK_LENGTH),
  });
}

/**
 * Runs a handler of received data, and logs its exception if it throws. Returns whether
 * it completed.
 *
 * @example
 * ```ts
 * tryHandle(log, "settings", () => onListed(items));
 * ```
 */
export function tryHandle(
  log: EventLog,
  handling: string,
  handle: () => void,
): boolean {
  try {
    handle();
    return true;
  } catch (error) {
    logInternalFault(log, handling, error);
    return false;
  }
}
