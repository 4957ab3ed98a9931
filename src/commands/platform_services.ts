/**
 * The platform's services that the processes of both roles are told of.
 *
 * @module
 */
import { HttpKeyValueService } from "../external/http_key_value_service.ts";
import { HttpVirtualMachineList } from "../external/http_virtual_machine_list.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { VirtualMachineList } from "../external/virtual_machine_list.ts";

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
