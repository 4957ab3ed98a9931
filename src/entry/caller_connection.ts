/**
 * One caller's HTTP exchange: reads the request, writes the answer.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import type { Header } from "../messages/types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { ProblemDetails } from "../refusals/types.ts";
import { resetWhenClosed } from "../core/socket_reset.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { CallerRequest } from "./types.ts";

/** Largest body of any service, in bytes; services may allow less. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Unsent bytes at which a caller counts as too slow. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/** Counts a request body against the memory that bodies may take. */
export interface BodyMeter {
  /** Whether a body of this length, 0 if it is not known, may be read. */
  mayRead(declaredBytes: number): boolean;
  /** Counts bytes that were read; false: the rest may not be read. */
  take(bytes: number): boolean;
}

/** One caller's HTTP exchange. */
export class CallerConnection {
  readonly #incoming: IncomingMessage;
  readonly #outgoing: ServerResponse;
  readonly #protocol: CallerProtocol;
  #endsWithConnection = false;
  #onBufferChange: (() => void) | undefined;

  /** Takes over an exchange of which nothing was read. */
  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    protocol: CallerProtocol,
  ) {
    this.#incoming = incoming;
    this.#outgoing = outgoing;
    this.#protocol = protocol;
  }

  /** The caller is asked to use another connection for its next request. */
  closeAfterAnswer(): void {
    if (!this.#outgoing.headersSent) {
      this.#outgoing.setHeader("connection", "close");
    }
  }

  /**
   * Calls back if the caller goes away before its answer is whole: as soon as its close
   * is read, which is some turns of the event loop before the answer is closed.
   */
  onGone(callback: () => void): void {
    const { socket } = this.#incoming;
    const onEnd = () => callback();
    socket.once("end", onEnd);
    this.#outgoing.once("close", () => {
      socket.off("end", onEnd);
      if (!this.#outgoing.writableFinished) callback();
    });
  }

  /** Bytes that were written for the caller and are not sent. */
  get unsentBytes(): number {
    return this.#outgoing.writableLength;
  }

  /**
   * Calls back before and after each write, when all is sent, and at last when the answer
   * is sent or the connection closed.
   */
  onBufferChange(onChange: () => void, onClosed: () => void): void {
    this.#onBufferChange = onChange;
    this.#outgoing.on("drain", onChange);
    this.#outgoing.once("close", () => {
      this.#onBufferChange = undefined;
      onClosed();
    });
  }

  /** Whether the request names an idempotency key, usable or not. */
  get isKeyed(): boolean {
    return this.#incoming.headers["idempotency-key"] !== undefined;
  }

  /**
   * Whether the caller has closed its connection. That is known from the connection some
   * turns of the event loop before it is known from the answer.
   */
  get isGone(): boolean {
    const { destroyed, readableEnded } = this.#incoming.socket;
    return this.#outgoing.destroyed || destroyed || readableEnded;
  }

  /**
   * Reads the whole request.
   *
   * @example
   * ```ts
   * const request = await connection.read(id);
   * ```
   */
  async read(
    id: number,
    meter?: BodyMeter,
  ): Promise<Result<CallerRequest, RefusalName>> {
    const body = await this.#readBody(meter);
    if (body.isErr()) return body;
    const facts = this.#protocol.read(this.#incoming.headers, body.value);
    if (facts.isErr()) return facts;
    return Ok({
      id,
      method: this.#incoming.method ?? "GET",
      path: this.#incoming.url ?? "/",
      host: hostnameOf(this.#incoming.headers.host),
      body: body.value,
      ...facts.value,
    });
  }

  /**
   * The answer ends with this connection, as it did at the back end: an end of
   * our own making would tell the caller that it is whole.
   */
  endWithConnection(): void {
    this.#endsWithConnection = true;
    this.#outgoing.useChunkedEncodingByDefault = false;
    this.#outgoing.shouldKeepAlive = false;
  }

  /** Starts a streamed answer. */
  start(status: number, headers: readonly Header[]): void {
    this.#outgoing.writeHead(status, rawHeaders(headers));
    this.#outgoing.flushHeaders();
  }

  /** Sends a piece; false when the caller takes them too slowly. */
  write(bytes: Uint8Array): boolean {
    this.#onBufferChange?.();
    this.#outgoing.write(bytes);
    this.#onBufferChange?.();
    return this.#outgoing.writableLength <= MAX_UNSENT_BYTES;
  }

  /** The streamed answer is whole. */
  finish(): void {
    this.#outgoing.end();
  }

  /** Sends a whole answer. */
  sendWhole(
    status: number,
    headers: readonly Header[],
    body: readonly Uint8Array[],
  ): void {
    this.#outgoing.writeHead(status, rawHeaders(headers));
    this.#outgoing.end(Buffer.concat(body));
    this.#onBufferChange?.();
  }

  /** Breaks the connection, so that the caller sees no shorter whole answer. */
  cut(): void {
    // Without a length or chunks an orderly close would mark the end of the answer.
    const { socket } = this.#outgoing;
    if (this.#endsWithConnection && socket !== null) resetWhenClosed(socket);
    this.#outgoing.destroy();
  }

  /** Sends a problem document. */
  refuse(problem: ProblemDetails): void {
    if (this.#outgoing.headersSent) return this.cut();
    const { retryAfterSeconds, ...document } = problem;
    const body = JSON.stringify(document);
    this.#outgoing.statusCode = problem.status;
    const answerHeaders = this.#protocol.refusalHeaders(this.#incoming.headers);
    for (const [name, value] of answerHeaders) {
      this.#outgoing.setHeader(name, value);
    }
    this.#outgoing.setHeader("content-type", "application/problem+json");
    this.#outgoing.setHeader("content-length", Buffer.byteLength(body));
    if (retryAfterSeconds !== undefined) {
      this.#outgoing.setHeader("retry-after", retryAfterSeconds);
    }
    if (!this.#incoming.complete) {
      this.#outgoing.setHeader("connection", "close");
    }
    this.#outgoing.end(body);
  }

  async #readBody(
    meter: BodyMeter | undefined,
  ): Promise<Result<Uint8Array, RefusalName>> {
    const chunks: Uint8Array[] = [];
    let length = 0;
    if (meter?.mayRead(this.#declaredBytes) === false) {
      return Err("BODIES_FILL_MEMORY");
    }
    try {
      // Leaving the loop would destroy the request and its socket, and no refusal could be sent.
      const pieces = this.#incoming.iterator({ destroyOnReturn: false });
      for await (const chunk of pieces) {
        length += chunk.length;
        if (length > MAX_BODY_BYTES) return Err("BODY_TOO_LARGE");
        if (meter?.take(chunk.length) === false) {
          return Err("BODIES_FILL_MEMORY");
        }
        chunks.push(chunk);
      }
    } catch {
      return Err("BAD_BODY");
    }
    return Ok(Buffer.concat(chunks));
  }

  /** Bytes of the body by its headers; 0: not given, or more than any service allows. */
  get #declaredBytes(): number {
    const bytes = Number(this.#incoming.headers["content-length"] ?? 0);
    return bytes <= MAX_BODY_BYTES ? bytes : 0;
  }
}

function hostnameOf(host: string | undefined): string | undefined {
  return host?.replace(/:\d+$/, "");
}

/** A flat list, since one name may come more than once. */
function rawHeaders(headers: readonly Header[]): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}
