/**
 * Stands in for the platform's list of machines, which lags.
 *
 * @module
 */
import { Hono } from "hono";
import type { VirtualMachine } from "../src/external/virtual_machine_list.ts";
import { createHonoListener } from "../src/process/hono_listener.ts";

/** Stands in for the platform's list of machines. */
export class MachineListStandIn {
  /** Milliseconds after which a change shows. */
  lagMs = 0;
  /** Answers nothing but status 503. */
  isDown = false;
  #shown: readonly VirtualMachine[] = [];
  readonly #listener = createHonoListener(this.#createApplication());

  /** Listens. */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Closes. */
  close(): void {
    this.#listener.close();
  }

  /** Changes the list; it shows after the lag. */
  setMachines(machines: readonly VirtualMachine[]): void {
    if (this.lagMs === 0) this.#shown = machines;
    else setTimeout(() => this.#shown = machines, this.lagMs).unref();
  }

  #createApplication(): Hono {
    const app = new Hono();
    app.get(
      "/v1/machines",
      (context) =>
        this.isDown ? context.text("down", 503) : context.json(this.#shown),
    );
    return app;
  }
}
