/**
 * Prevents SIGHUP from ending a process during start-up. This module is loaded before
 * all others and records the signal until a handler is set.
 *
 * The operating system ends a process on SIGHUP unless it has a handler. Loading the
 * program takes about 200 ms on a small VM, during which a change of its settings file
 * may be signalled.
 *
 * @module
 */
import process from "node:process";

let wasReceived = false;

function recordSignal(): void {
  wasReceived = true;
}

process.on("SIGHUP", recordSignal);

/**
 * Calls `onSignal` for each SIGHUP from now on, and once if any was received before.
 *
 * @example
 * ```ts
 * handleReloadSignal(() => reload());
 * ```
 */
export function handleReloadSignal(onSignal: () => void): void {
  process.off("SIGHUP", recordSignal);
  process.on("SIGHUP", onSignal);
  if (wasReceived) onSignal();
}

/**
 * Restores the default action of SIGHUP, which ends the process, for commands at a
 * terminal.
 */
export function releaseReloadSignal(): void {
  process.off("SIGHUP", recordSignal);
}
