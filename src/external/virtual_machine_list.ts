/**
 * The platform's list of virtual machines, which lags.
 *
 * @module
 */

/** One machine of the list. */
export interface VirtualMachine {
  readonly name: string;
  /** Host and port of the lagoonwharf process on it. */
  readonly address: string;
  readonly role: "entry" | "target";
  readonly failureDomain: string;
  /** The platform's label for machines of one kind; empty for entries. */
  readonly pool: string;
  readonly state: "live" | "leaving" | "gone";
}

/** Thrown when the list did not answer. */
export class MachineListUnavailableError extends Error {
  override readonly name = "MachineListUnavailableError";
}

/** The platform's list of virtual machines. */
export abstract class VirtualMachineList {
  /**
   * Reads the whole list.
   *
   * @throws {MachineListUnavailableError} when it does not answer
   */
  abstract read(): Promise<readonly VirtualMachine[]>;
}
