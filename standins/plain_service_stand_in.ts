/**
 * Stand-in for a plain service, which counts the runs of each idempotency key.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { listenOn } from "../src/process/address.ts";

/** Faults of a {@link PlainServiceStandIn}. */
export interface PlainServiceFaults {
  /** Duration of a run. */
  delayMs: number;
  /** Number of upcoming runs whose connection is closed instead of an answer. */
  lostAnswers: number;
  /** Number of upcoming answers that end before their declared length. */
  truncatedAnswers: number;
  /** Whether requests run but are never answered. */
  isUnresponsive: boolean;
}

/** Stand-in for a plain service. */
export class PlainServiceStandIn {
  readonly faults: PlainServiceFaults = {
    delayMs: 0,
    lostAnswers: 0,
    truncatedAnswers: 0,
    isUnresponsive: false,
  };
  readonly #name: string;
  readonly #runsByKey = new Map<string, number>();
  #runs = 0;
  #cancelled = 0;
  readonly #server = createServer((request, response) => {
    void this.#serve(request, response);
  });

  /** Creates a service that includes `name` in its answers. */
  constructor(name: string) {
    this.#name = name;
  }

  /** Number of runs so far. */
  get runs(): number {
    return this.#runs;
  }

  /** Number of requests whose connection closed before the end of the answer. */
  get cancelled(): number {
    return this.#cancelled;
  }

  /** Returns the number of runs of an idempotency key. */
  getRunCount(key: string): number {
    return this.#runsByKey.get(key) ?? 0;
  }

  /** Listens on an address. */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk);
    this.#countRun(request);
    response.once("close", () => {
      if (!response.writableFinished) this.#cancelled++;
    });
    if (this.faults.isUnresponsive) return;
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers--;
      response.destroy();
      return;
    }
    this.#answer(request, response, Buffer.concat(chunks));
  }

  #countRun(request: IncomingMessage): void {
    this.#runs++;
    const key = request.headers["idempotency-key"];
    if (typeof key !== "string") return;
    this.#runsByKey.set(key, this.getRunCount(key) + 1);
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    received: Buffer,
  ): void {
    const body = JSON.stringify({
      service: this.#name,
      method: request.method,
      path: request.url,
      run: this.#runs,
      received: received.toString(),
    });
    response.setHeader("content-type", "application/json");
    if (this.faults.truncatedAnswers > 0) {
      this.faults.truncatedAnswers--;
      response.setHeader("content-length", Buffer.byteLength(body) + 1);
      response.write(body);
      response.destroy();
      return;
    }
    response.setHeader("content-length", Buffer.byteLength(body));
    response.end(body);
  }
}
