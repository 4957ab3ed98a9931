/**
 * A list of virtual machines that is read as JSON over HTTP.
 *
 * @module
 */
import * as z from "zod";
import { tryParseSocketAddress } from "../messages/socket_address.ts";
import { JsonService } from "./json_service.ts";
import {
  MachineListUnavailableError,
  type VirtualMachine,
  VirtualMachineList,
} from "./virtual_machine_list.ts";

const CALL_TIMEOUT_MS = 3000;

const LIST_SCHEMA = z.array(z.object({
  name: z.string(),
  address: z.string(),
  role: z.enum(["entry", "target"]),
  failureDomain: z.string(),
  pool: z.string(),
  state: z.enum(["live", "leaving", "gone"]),
}));

/** A list of virtual machines that is read as JSON over HTTP. */
export class HttpVirtualMachineList extends VirtualMachineList {
  readonly #service: JsonService;

  /** Creates a client for the list at `address`, a host and port. */
  constructor(address: string) {
    super();
    this.#service = new JsonService(address);
  }

  override async read(): Promise<readonly VirtualMachine[]> {
    try {
      const { status, text } = await this.#service.call({
        path: "/v1/machines",
        limitMs: CALL_TIMEOUT_MS,
      });
      if (status !== 200) throw new Error(`Status ${status}`);
      const rows = LIST_SCHEMA.parse(JSON.parse(text));
      return rows.flatMap(tryCreateMachine);
    } catch (error) {
      throw new MachineListUnavailableError(String(error));
    }
  }
}

/** Returns a row as a VM; none if no connection can be made to its address. */
function tryCreateMachine(
  row: z.infer<typeof LIST_SCHEMA>[number],
): readonly VirtualMachine[] {
  const address = tryParseSocketAddress(row.address);
  return address === undefined ? [] : [{ ...row, address }];
}
