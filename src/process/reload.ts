/**
 * Reloads the process settings on SIGHUP.
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
  /** Applies the settings that can change while the process runs. */
  readonly apply: (settings: T) => void;
  readonly log: EventLog;
}

/**
 * Reloads the settings on each SIGHUP. A file with findings is ignored. Requests
 * in flight are not affected.
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
