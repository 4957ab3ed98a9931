/**
 * Starts claiming key slots for a target and fetching the history of claimed slots.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { VirtualMachineList } from "../external/virtual_machine_list.ts";
import type { TargetProcessSettings } from "../process/process_settings.ts";
import { ClaimKeeper, type ClaimKeeperOptions } from "./claim_keeper.ts";
import { HistoryFetcher } from "./history_fetcher.ts";
import type { TargetEvent } from "./types.ts";

/** Options of {@link startClaims}. */
export interface StartClaimsOptions {
  readonly settings: TargetProcessSettings;
  readonly incarnation: string;
  readonly keyValueService?: KeyValueService;
  readonly machineList?: VirtualMachineList;
  readonly log: EventLog;
  readonly onEvent: (event: TargetEvent) => void;
}

/**
 * Starts claiming key slots, unless the target is configured to own no keys.
 *
 * @example
 * ```ts
 * const claims = startClaims({ ...options, onEvent: dispatch });
 * claims?.setVirtualMachines(virtualMachines);
 * ```
 */
export function startClaims(
  options: StartClaimsOptions,
): ClaimKeeper | undefined {
  const { settings, keyValueService, incarnation, log, onEvent } = options;
  if (keyValueService === undefined || !settings.ownsKeys) return undefined;
  const fetcher = new HistoryFetcher({
    identity: { ...settings, incarnation },
    log,
    onHistory: (history) =>
      onEvent({ kind: "history_received", now: performance.now(), history }),
  });
  return new ClaimKeeper({
    service: keyValueService,
    pool: settings.pool,
    address: settings.address,
    targetName: settings.name,
    incarnation,
    hasMachineList: options.machineList !== undefined,
    goneGraceMs: settings.goneGraceMs,
    monotonicNow: () => performance.now(),
    onTaken: (slots) => fetcher.fetch(slots),
    onConfirmed: createConfirmedHandler(options),
  });
}

/**
 * Creates a handler that dispatches every confirmation and logs the claims once for each
 * version of the owner table.
 */
function createConfirmedHandler(
  { log, onEvent }: StartClaimsOptions,
): ClaimKeeperOptions["onConfirmed"] {
  let version = 0;
  return (claims, requestedAt) => {
    if (claims.version !== version) {
      version = claims.version;
      log.write("SLOTS_CLAIMED", { version, slots: claims.slots.length });
    }
    onEvent({
      kind: "claims_confirmed",
      now: performance.now(),
      claims,
      requestedAt,
    });
  };
}
