/**
 * Stands in for a model engine: batches continuously, streams one token of each
 * request a step, and cancels when its caller goes away.
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
  /** Milliseconds of one step. */
  readonly stepMs: number;
  /** Tokens of an answer when the request does not say. */
  readonly defaultTokens: number;
}

interface Sequence {
  readonly response: ServerResponse;
  readonly tokens: number;
  produced: number;
}

/** Stands in for a model engine. */
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

  /** Does not step yet. */
  constructor(options: ModelEngineOptions) {
    this.#options = options;
  }

  /** Requests whose caller went away. */
  get cancelled(): number {
    return this.#cancelled;
  }

  /** Requests that were answered. */
  get finished(): number {
    return this.#finished;
  }

  /** Tokens produced. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Requests in the batch now. */
  get running(): number {
    return this.#batch.size;
  }

  /** Listens, and steps. */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
    this.#timer = setInterval(() => this.#step(), this.#options.stepMs);
  }

  /** Closes. */
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
      tokens: tokensOf(Buffer.concat(chunks)) ?? this.#options.defaultTokens,
      produced: 0,
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
    sequence.produced++;
    this.#tokens++;
    const { name } = this.#options;
    sequence.response.write(`data: ${name} token ${sequence.produced}\n\n`);
    if (sequence.produced < sequence.tokens) return;
    this.#batch.delete(sequence);
    this.#finished++;
    sequence.response.end("data: [DONE]\n\n");
  }
}

function tokensOf(body: Buffer): number | undefined {
  try {
    const tokens = JSON.parse(body.toString()).max_tokens;
    return typeof tokens === "number" ? tokens : undefined;
  } catch {
    return undefined;
  }
}
