/**
 * The platform's list of virtual machines, which is updated with a delay.
 *
 * @module
 */
import type { SocketAddress } from "../messages/socket_address.ts";

/** A virtual machine in the list. */
export interface VirtualMachine {
  readonly name: string;
  /** Host and port of the lagoonwharf process on it. */
  readonly address: SocketAddress;
  readonly role: "entry" | "target";
  readonly failureDomain: string;
  /** The platform's label for VMs of one kind; empty for entries. */
  readonly pool: string;
  readonly state: "live" | "leaving" | "gone";
}

/** Thrown when the list does not answer. */
export class MachineListUnavailableError extends Error {
  override readonly name = "MachineListUnavailableError";
}

/** The platform's list of virtual machines. */
export abstract class VirtualMachineList {
  /**
   * Reads the list.
   *
   * @throws {MachineListUnavailableError} when it does not answer
   */
  abstract read(): Promise<readonly VirtualMachine[]>;
}
