/**
 * Reads the platform's list of machines again and again, through outages.
 *
 * @module
 */
import type {
  VirtualMachine,
  VirtualMachineList,
} from "./virtual_machine_list.ts";

const READ_INTERVAL_MS = 2000;

/** Options of a {@link MachineListReader}. */
export interface MachineListReaderOptions {
  readonly list: VirtualMachineList;
  readonly onList: (machines: readonly VirtualMachine[]) => void;
  /** Called when the list answers, or has stopped answering. */
  readonly onReachable: (isReachable: boolean) => void;
}

/** Reads the platform's list of machines again and again. */
export class MachineListReader {
  readonly #options: MachineListReaderOptions;
  #isReachable: boolean | undefined;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;

  /** Reads at once. */
  constructor(options: MachineListReaderOptions) {
    this.#options = options;
    void this.#readAndPlan();
  }

  /** Reads no more. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #readAndPlan(): Promise<void> {
    await this.#read();
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => void this.#readAndPlan(), READ_INTERVAL_MS);
  }

  async #read(): Promise<void> {
    try {
      const machines = await this.#options.list.read();
      this.#setReachable(true);
      if (!this.#isStopped) this.#options.onList(machines);
    } catch {
      this.#setReachable(false);
    }
  }

  #setReachable(isReachable: boolean): void {
    if (this.#isReachable === isReachable) return;
    this.#isReachable = isReachable;
    this.#options.onReachable(isReachable);
  }
}
