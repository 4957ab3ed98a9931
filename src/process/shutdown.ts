/**
 * Handles termination signals: the first drains the process, a second one or the time
 * limit ends it.
 *
 * @module
 */
import process from "node:process";
import type { EventLog } from "../events/event_log.ts";

/** A process that can be drained and closed. */
export interface Drainable {
  /**
   * Starts to drain; calls `onDrained` once no request is in flight. After `limitMs`
   * milliseconds the process ends in any case.
   */
  drain(onDrained: () => void, limitMs: number): void;
  /** Number of requests in flight. */
  readonly inFlight: number;
  /** Closes the process immediately. */
  close(): Promise<void>;
}

/** Options of {@link drainOnSignal}. */
export interface ShutdownOptions {
  readonly log: EventLog;
  /** Milliseconds between the first signal and the end, at most. */
  readonly drainLimitMs: number;
}

const EXIT_CLEAN = 0;
const EXIT_CUT = 3;

/**
 * Drains on SIGTERM or SIGINT.
 *
 * @example
 * ```ts
 * drainOnSignal(driver, { log, drainLimitMs: 60_000 });
 * ```
 */
export function drainOnSignal(
  drainable: Drainable,
  options: ShutdownOptions,
): void {
  let isDraining = false;
  let isEnding = false;
  async function end(code: number): Promise<void> {
    if (isEnding) return;
    isEnding = true;
    if (code === EXIT_CUT) {
      options.log.write("CUT_AT_END", { cut: drainable.inFlight });
    }
    await drainable.close();
    options.log.flush();
    process.exit(code);
  }
  function onSignal(): void {
    if (isDraining) {
      void end(EXIT_CUT);
      return;
    }
    isDraining = true;
    options.log.write("DRAINING", { inFlight: drainable.inFlight });
    const { drainLimitMs } = options;
    setTimeout(() => void end(EXIT_CUT), drainLimitMs);
    drainable.drain(() => {
      options.log.write("DRAINED");
      void end(EXIT_CLEAN);
    }, drainLimitMs);
  }
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}
