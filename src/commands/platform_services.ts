/**
 * Creates the clients of the platform's services, which the processes of both roles
 * use.
 *
 * @module
 */
import { HttpKeyValueService } from "../external/http_key_value_service.ts";
import { HttpVirtualMachineList } from "../external/http_virtual_machine_list.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { VirtualMachineList } from "../external/virtual_machine_list.ts";

/** Addresses of the platform's services. */
export interface PlatformAddresses {
  readonly keyValueAddress?: string;
  readonly machineListAddress?: string;
}

/** Clients of the platform's services; undefined where no address is configured. */
export interface Platform {
  readonly keyValueService?: KeyValueService;
  readonly machineList?: VirtualMachineList;
}

/** Creates the clients of the services whose address is configured. */
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
