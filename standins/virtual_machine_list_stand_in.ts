/**
 * Stand-in for the platform's list of VMs, which shows changes with a delay.
 *
 * @module
 */
import { Hono } from "hono";
import type { VirtualMachine } from "../src/external/virtual_machine_list.ts";
import { createHonoListener } from "../src/process/hono_listener.ts";

/** Stand-in for the platform's list of VMs. */
export class VirtualMachineListStandIn {
  /** Milliseconds after which a change is visible. */
  delayMs = 0;
  /** Whether every answer has status 503. */
  isDown = false;
  #visibleList: readonly VirtualMachine[] = [];
  readonly #listener = createHonoListener(this.#createApplication());

  /** Listens on an address. */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Stops listening. */
  close(): void {
    this.#listener.close();
  }

  /** Changes the list. The change is visible after `delayMs`. */
  setVirtualMachines(list: readonly VirtualMachine[]): void {
    if (this.delayMs === 0) this.#visibleList = list;
    else setTimeout(() => this.#visibleList = list, this.delayMs).unref();
  }

  #createApplication(): Hono {
    const app = new Hono();
    app.get(
      "/v1/machines",
      (context) =>
        this.isDown
          ? context.text("down", 503)
          : context.json(this.#visibleList),
    );
    return app;
  }
}
