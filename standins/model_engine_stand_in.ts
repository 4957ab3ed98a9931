/**
 * Stand-in for a model engine with continuous batching. Each step streams one token to
 * every request. A request is cancelled when its caller disconnects.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { listenOn } from "../src/process/address.ts";

/** Options of a {@link ModelEngineStandIn}. */
export interface ModelEngineOptions {
  readonly name: string;
  /** Duration of one step. */
  readonly stepMs: number;
  /** Number of tokens of an answer when the request does not specify it. */
  readonly defaultTokens: number;
}

interface Sequence {
  readonly response: ServerResponse;
  readonly requestedTokens: number;
  producedTokens: number;
}

/** Stand-in for a model engine. */
export class ModelEngineStandIn {
  readonly #options: ModelEngineOptions;
  readonly #batch = new Set<Sequence>();
  #cancelled = 0;
  #finished = 0;
  #tokens = 0;
  #timer: NodeJS.Timeout | undefined;
  readonly #server = createServer((request, response) => {
    void this.#serve(request, response);
  });

  /** Creates an engine, which starts to step when it listens. */
  constructor(options: ModelEngineOptions) {
    this.#options = options;
  }

  /** Number of requests whose caller disconnected. */
  get cancelled(): number {
    return this.#cancelled;
  }

  /** Number of requests that were answered completely. */
  get finished(): number {
    return this.#finished;
  }

  /** Number of tokens produced. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Number of requests in the current batch. */
  get running(): number {
    return this.#batch.size;
  }

  /** Listens on an address and starts to step. */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
    this.#timer = setInterval(() => this.#step(), this.#options.stepMs);
  }

  /** Stops stepping and closes all connections. */
  close(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const sequence: Sequence = {
      response,
      requestedTokens: tryReadTokenCount(Buffer.concat(chunks)) ??
        this.#options.defaultTokens,
      producedTokens: 0,
    };
    response.once("close", () => {
      if (this.#batch.delete(sequence)) this.#cancelled++;
    });
    response.writeHead(200, { "content-type": "text/event-stream" });
    this.#batch.add(sequence);
  }

  #step(): void {
    for (const sequence of this.#batch) this.#produce(sequence);
  }

  #produce(sequence: Sequence): void {
    sequence.producedTokens++;
    this.#tokens++;
    const { name } = this.#options;
    sequence.response.write(
      `data: ${name} token ${sequence.producedTokens}\n\n`,
    );
    if (sequence.producedTokens < sequence.requestedTokens) return;
    this.#batch.delete(sequence);
    this.#finished++;
    sequence.response.end("data: [DONE]\n\n");
  }
}

function tryReadTokenCount(body: Buffer): number | undefined {
  try {
    const tokens = JSON.parse(body.toString()).max_tokens;
    return typeof tokens === "number" ? tokens : undefined;
  } catch {
    return undefined;
  }
}
