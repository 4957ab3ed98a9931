/**
 * A service of the platform that is called with JSON over HTTP.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Header } from "../messages/types.ts";
import type { SocketAddress } from "../messages/socket_address.ts";
import { type CompleteAnswer, fetchAnswer } from "./fetch_answer.ts";
import { HttpBackEnd } from "./http_back_end.ts";

/** Connections to one service, each of which a watch may occupy. */
const MAX_CONNECTIONS = 64;
const NO_BODY = new Uint8Array();
const JSON_BODY: Header = ["content-type", "application/json"];

/** One call of a {@link JsonService}. */
export interface JsonCall {
  readonly method?: "GET" | "POST" | "PUT";
  readonly path: string;
  /** Sent as JSON; undefined: no body. */
  readonly body?: unknown;
  /** Milliseconds within which the answer must be complete. */
  readonly limitMs: number;
  readonly signal?: AbortSignal;
}

/** A service of the platform that is called with JSON over HTTP. */
export class JsonService {
  readonly #http: HttpBackEnd;

  /** Creates a client for the service at `address`, a host and port of the settings. */
  constructor(address: string) {
    this.#http = new HttpBackEnd({
      // Checked when the settings of the process were read, which allow host names.
      address: address as SocketAddress,
      maxConnections: MAX_CONNECTIONS,
    });
  }

  /**
   * Calls the service once.
   *
   * @example
   * ```ts
   * const { status, text } = await service.call({ path: "/state", limitMs: 500 });
   * ```
   *
   * @throws {CallFailedError} when there is no complete answer
   */
  async call(
    { method = "GET", path, body, limitMs, signal }: JsonCall,
  ): Promise<CompleteAnswer> {
    const hasBody = body !== undefined;
    const request = {
      method,
      path,
      headers: hasBody ? [JSON_BODY] : [],
      body: hasBody ? Buffer.from(JSON.stringify(body)) : NO_BODY,
      limitMs,
    };
    return await fetchAnswer(this.#http, request, { signal });
  }
}
