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
import { BodyBuffer } from "./body_buffer.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { CallerRequest } from "./types.ts";

/** Unsent bytes above which a caller is too slow. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/**
 * Bytes of memory for each name and each value of a header, besides its characters: the
 * text itself, and its places in the lists and maps that are made of them.
 */
const HEADER_TEXT_BYTES = 100;

/** Counts a request body against the memory limit of bodies. */
export interface BodyMeter {
  /** Whether a body of this length may be read; the length is 0 if it is unknown. */
  mayRead(declaredBytes: number): boolean;
  /**
   * Sets the bytes held of the body, of which `receivedBytes` have arrived; returns false
   * if the rest may not be read.
   */
  tryHold(bytes: number, receivedBytes: number): boolean;
}

/** Limits on a request that is read. */
export interface ReadOptions {
  readonly meter: BodyMeter | undefined;
  /** Bytes of the largest body that any service allows. */
  readonly maxBodyBytes: number;
}

/** One caller's HTTP exchange. */
export class CallerConnection {
  readonly #incoming: IncomingMessage;
  readonly #outgoing: ServerResponse;
  readonly #protocol: CallerProtocol;
  /** Whether the answer has neither a length nor chunks, as for callers of HTTP/1.0. */
  #endsWithConnection = false;
  #onBufferChange: (() => void) | undefined;
  #stopReading: ((reason: RefusalName) => void) | undefined;

  /** Creates a connection for an exchange whose request has not been read. */
  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    protocol: CallerProtocol,
  ) {
    this.#incoming = incoming;
    this.#outgoing = outgoing;
    this.#protocol = protocol;
  }

  /** Asks the caller to use another connection for its next request. */
  closeAfterAnswer(): void {
    if (!this.#outgoing.headersSent) {
      this.#outgoing.setHeader("connection", "close");
    }
  }

  /**
   * Calls back if the caller disconnects before its answer is complete. The end of its
   * socket is read several turns of the event loop before the response closes.
   */
  onClosed(callback: () => void): void {
    const { socket } = this.#incoming;
    const onEnd = () => callback();
    socket.once("end", onEnd);
    this.#outgoing.once("close", () => {
      socket.off("end", onEnd);
      if (!this.#outgoing.writableFinished) callback();
    });
  }

  /** Bytes that were written for the caller but not sent yet. */
  get unsentBytes(): number {
    return this.#outgoing.writableLength;
  }

  /**
   * Calls `onChange` before and after each write and when the buffer is empty. Finally
   * calls `onClosed` when the answer is sent or the connection is closed.
   */
  onBufferChange(onChange: () => void, onClosed: () => void): void {
    this.#onBufferChange = onChange;
    this.#outgoing.on("drain", onChange);
    this.#outgoing.once("close", () => {
      this.#onBufferChange = undefined;
      onClosed();
    });
  }

  /** Bytes of memory that the head of the request occupies, estimated. */
  get headBytes(): number {
    const { rawHeaders } = this.#incoming;
    let bytes = rawHeaders.length * HEADER_TEXT_BYTES;
    for (const text of rawHeaders) bytes += text.length;
    return bytes;
  }

  /** Whether the request has an idempotency key, valid or not. */
  get isKeyed(): boolean {
    return this.#incoming.headers["idempotency-key"] !== undefined;
  }

  /**
   * Whether the caller has closed its connection. The socket shows this several turns of
   * the event loop before the response does.
   */
  get isClosed(): boolean {
    const { destroyed, readableEnded } = this.#incoming.socket;
    return this.#outgoing.destroyed || destroyed || readableEnded;
  }

  /**
   * Reads the complete request.
   *
   * @example
   * ```ts
   * const request = await connection.read(id, { meter, maxBodyBytes });
   * ```
   */
  async read(
    id: number,
    options: ReadOptions,
  ): Promise<Result<CallerRequest, RefusalName>> {
    const body = await this.#readBody(options);
    if (body.isErr()) return body;
    const fields = this.#protocol.read(this.#incoming.headers, body.value);
    if (fields.isErr()) return fields;
    return Ok({
      id,
      method: this.#incoming.method ?? "GET",
      path: this.#incoming.url ?? "/",
      host: this.#incoming.headers.host,
      body: body.value,
      ...fields.value,
    });
  }

  /** Milliseconds that the caller waits, if its head says so. */
  get deadlineMs(): number | undefined {
    return this.#protocol.getDeadlineMs(this.#incoming.headers);
  }

  /** Ends {@link read} with a refusal if the body has not been read completely. */
  stopReading(reason: RefusalName): void {
    this.#stopReading?.(reason);
  }

  /**
   * Starts a streamed answer. Without a length it is sent in chunks, however the back end
   * marks its end: if this process is killed, the last chunk is missing, while the end of
   * a connection would look like the end of the answer.
   */
  start(status: number, headers: readonly Header[]): void {
    this.#outgoing.writeHead(status, rawHeaders(headers));
    this.#outgoing.flushHeaders();
    const hasLength = headers.some(([name]) => name === "content-length");
    this.#endsWithConnection = !hasLength && !this.#outgoing.chunkedEncoding;
  }

  /** Sends a chunk; returns false if the caller reads too slowly. */
  write(bytes: Uint8Array): boolean {
    this.#onBufferChange?.();
    this.#outgoing.write(bytes);
    this.#onBufferChange?.();
    return this.#outgoing.writableLength <= MAX_UNSENT_BYTES;
  }

  /** Ends a streamed answer that is complete. */
  finish(): void {
    this.#outgoing.end();
  }

  /** Sends a complete answer. */
  sendComplete(
    status: number,
    headers: readonly Header[],
    body: readonly Uint8Array[],
  ): void {
    this.#outgoing.writeHead(status, rawHeaders(headers));
    this.#outgoing.end(Buffer.concat(body));
    this.#onBufferChange?.();
  }

  /** Aborts the connection, so that a partial answer does not look complete. */
  abort(): void {
    // Without a content length or chunks, an orderly close marks the end of the answer.
    const { socket } = this.#outgoing;
    if (this.#endsWithConnection && socket !== null) resetWhenClosed(socket);
    this.#outgoing.destroy();
  }

  /** Sends a problem document. */
  refuse(problem: ProblemDetails): void {
    if (this.#outgoing.headersSent) return this.abort();
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
    this.#onBufferChange?.();
  }

  /**
   * Reads the body. Its pieces are joined as they are parsed, as a client may send them
   * in chunks of one byte.
   */
  #readBody(
    { meter, maxBodyBytes }: ReadOptions,
  ): Promise<Result<Uint8Array, RefusalName>> {
    const declaredBytes = this.#declaredBytes;
    if (declaredBytes > maxBodyBytes) {
      return Promise.resolve(Err("BODY_TOO_LARGE"));
    }
    if (meter?.mayRead(declaredBytes) === false) {
      return Promise.resolve(Err("BODIES_FILL_MEMORY"));
    }
    const body = new BodyBuffer();
    return new Promise((resolve) => {
      const finish = (result: Result<Uint8Array, RefusalName>) => {
        this.#incoming.off("data", onData);
        this.#stopReading = undefined;
        resolve(result);
      };
      const onData = (piece: Uint8Array) => {
        body.append(piece);
        if (body.length > maxBodyBytes) return finish(Err("BODY_TOO_LARGE"));
        const isHeld = meter?.tryHold(body.heldBytes, body.length) ??
          true;
        if (!isHeld) finish(Err("BODIES_FILL_MEMORY"));
      };
      this.#stopReading = (reason) => finish(Err(reason));
      this.#incoming.on("data", onData);
      this.#incoming.once("end", () => {
        const bytes = body.take();
        if (bytes.length > 0) meter?.tryHold(bytes.length, bytes.length);
        finish(Ok(bytes));
      });
      // The caller has left, or its body was malformed.
      this.#incoming.once("error", () => this.stopReading("BAD_BODY"));
      this.#incoming.once("close", () => this.stopReading("BAD_BODY"));
    });
  }

  /** Body size by the headers, in bytes; 0 if it is unknown. */
  get #declaredBytes(): number {
    return Number(this.#incoming.headers["content-length"] ?? 0);
  }
}

/** Flattens headers into the list that Node.js takes; a name may occur more than once. */
function rawHeaders(headers: readonly Header[]): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}
