/**
 * A list of virtual machines that is read as JSON over HTTP.
 *
 * @module
 */
import { request } from "undici";
import * as z from "zod";
import {
  MachineListUnavailableError,
  type VirtualMachine,
  VirtualMachineList,
} from "./virtual_machine_list.ts";

const CALL_TIMEOUT_MS = 3000;

const LIST_SCHEMA: z.ZodType<readonly VirtualMachine[]> = z.array(z.object({
  name: z.string(),
  address: z.string(),
  role: z.enum(["entry", "target"]),
  failureDomain: z.string(),
  pool: z.string(),
  state: z.enum(["live", "leaving", "gone"]),
}));

/** A list of virtual machines that is read as JSON over HTTP. */
export class HttpVirtualMachineList extends VirtualMachineList {
  readonly #address: string;

  /** Creates a client for the list at `address`, a host and port. */
  constructor(address: string) {
    super();
    this.#address = address;
  }

  override async read(): Promise<readonly VirtualMachine[]> {
    try {
      const response = await request(`http://${this.#address}/v1/machines`, {
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      return LIST_SCHEMA.parse(JSON.parse(await response.body.text()));
    } catch (error) {
      throw new MachineListUnavailableError(String(error));
    }
  }
}
