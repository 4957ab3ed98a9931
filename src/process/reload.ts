/**
 * SIGHUP: the file of process settings may have changed.
 *
 * @module
 */
import type { Result } from "ts-results-es";
import type { EventLog } from "../events/event_log.ts";
import type { ProcessSettingsFinding } from "./process_settings.ts";
import { handleReloadSignal } from "./reload_signal.ts";

/** Options of {@link reloadOnSignal}. */
export interface ReloadOptions<T> {
  /** Reads and checks the file. */
  readonly read: () => Result<T, readonly ProcessSettingsFinding[]>;
  /** Puts in force what can change while the process runs. */
  readonly apply: (settings: T) => void;
  readonly log: EventLog;
}

/**
 * Reads the settings anew on each SIGHUP. A file with findings changes nothing,
 * and neither case touches a request in flight.
 *
 * @example
 * ```ts
 * reloadOnSignal({ read, apply: (settings) => driver.reload(settings), log });
 * ```
 */
export function reloadOnSignal<T>(options: ReloadOptions<T>): void {
  const { read, apply, log } = options;
  handleReloadSignal(() => {
    const settings = read();
    if (settings.isErr()) {
      const findings = settings.error
        .map(({ property, text }) => `${property}: ${text}`);
      log.write("RELOAD_REFUSED", { findings: findings.join("; ") });
      return;
    }
    apply(settings.value);
    log.write("RELOADED");
  });
}
