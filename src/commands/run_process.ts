/**
 * What the processes of both roles have in common when they start.
 *
 * @module
 */
import process from "node:process";
import type { EventLog } from "../events/event_log.ts";
import { HttpKeyValueService } from "../external/http_key_value_service.ts";
import { HttpVirtualMachineList } from "../external/http_virtual_machine_list.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { VirtualMachineList } from "../external/virtual_machine_list.ts";
import { type Drainable, drainOnSignal } from "../process/shutdown.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

/** Where the platform's services are. */
export interface PlatformAddresses {
  readonly keyValueAddress?: string;
  readonly machineListAddress?: string;
}

/** The platform's services, as far as the process is told of them. */
export interface Platform {
  readonly keyValueService?: KeyValueService;
  readonly machineList?: VirtualMachineList;
}

/** Makes the adapters of the platform's services. */
export function createPlatform(addresses: PlatformAddresses): Platform {
  const { keyValueAddress, machineListAddress } = addresses;
  return {
    keyValueService: keyValueAddress === undefined
      ? undefined
      : new HttpKeyValueService(keyValueAddress),
    machineList: machineListAddress === undefined
      ? undefined
      : new HttpVirtualMachineList(machineListAddress),
  };
}

/** A process that can be started, and ended by a signal. */
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
  running: RunnableProcess,
  options: RunProcessOptions,
): Promise<ExitCode | undefined> {
  try {
    await running.start();
  } catch (error) {
    options.log.write("START_FAILED", { cause: String(error) });
    options.log.flush();
    process.exitCode = EXIT_CODES.FAILED;
    await running.close();
    return EXIT_CODES.FAILED;
  }
  drainOnSignal(running, options);
  return undefined;
}
