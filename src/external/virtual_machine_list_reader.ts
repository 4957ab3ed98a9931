/**
 * Reads the platform's list of VMs at an interval, also during outages.
 *
 * @module
 */
import type {
  VirtualMachine,
  VirtualMachineList,
} from "./virtual_machine_list.ts";

const READ_INTERVAL_MS = 2000;

/** Options of a {@link VirtualMachineListReader}. */
export interface VirtualMachineListReaderOptions {
  readonly list: VirtualMachineList;
  /** Called with each list. */
  readonly onList: (virtualMachines: readonly VirtualMachine[]) => void;
  /** Called with an exception of `onList`. */
  readonly onFault: (error: unknown) => void;
  /** Called when the list becomes reachable or unreachable. */
  readonly onReachable: (isReachable: boolean) => void;
}

/** Reads the platform's list of VMs at an interval. */
export class VirtualMachineListReader {
  readonly #options: VirtualMachineListReaderOptions;
  #isReachable: boolean | undefined;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;

  /** Starts reading immediately. */
  constructor(options: VirtualMachineListReaderOptions) {
    this.#options = options;
    void this.#readRepeatedly();
  }

  /** Stops reading. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #readRepeatedly(): Promise<void> {
    await this.#read();
    if (this.#isStopped) return;
    this.#timer = setTimeout(
      () => void this.#readRepeatedly(),
      READ_INTERVAL_MS,
    );
  }

  async #read(): Promise<void> {
    const virtualMachines = await this.#tryRead();
    this.#setReachable(virtualMachines !== undefined);
    if (virtualMachines === undefined || this.#isStopped) return;
    try {
      this.#options.onList(virtualMachines);
    } catch (error) {
      this.#options.onFault(error);
    }
  }

  async #tryRead(): Promise<readonly VirtualMachine[] | undefined> {
    try {
      return await this.#options.list.read();
    } catch {
      return undefined;
    }
  }

  #setReachable(isReachable: boolean): void {
    if (this.#isReachable === isReachable) return;
    this.#isReachable = isReachable;
    this.#options.onReachable(isReachable);
  }
}
