/**
 * Keeps SIGHUP from ending a process that has yet to start: this module is loaded
 * before all others, and the signal is remembered until somebody takes it.
 *
 * The system ends a process on SIGHUP unless it listens. Loading the program takes
 * some 200 ms on a small machine, in which a change of its settings file may be
 * signalled.
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
 * Calls `onSignal` for each SIGHUP from now on, and once for those that came
 * before.
 *
 * @example
 * ```ts
 * takeReloadSignal(() => reload());
 * ```
 */
export function handleReloadSignal(onSignal: () => void): void {
  process.off("SIGHUP", recordSignal);
  process.on("SIGHUP", onSignal);
  if (wasReceived) onSignal();
}

/** Lets SIGHUP end the process again, as a command at a terminal should. */
export function releaseReloadSignal(): void {
  process.off("SIGHUP", recordSignal);
}
