/**
 * Passes the bytes of one connection to the HTTP parser request by request.
 *
 * On its own, the parser parses all that one read brought, up to 64 KiB, before anything
 * else runs: a thousand requests, each with a request, a response and what handles them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { countLines } from "../core/count_lines.ts";
import { Debug } from "../core/debug.ts";
import {
  MAX_READ_AHEAD_BYTES,
  MAX_REQUESTS_AHEAD,
  WORK_PER_REQUEST,
} from "./connection_limits.ts";
import {
  type MessageObserver,
  type ObservedRequest,
  observeMessages,
} from "./http_messages.ts";

/**
 * The only bytes that end a head, and the trailers of a chunked body. A piece of bytes
 * that ends with the first of them completes one request at most.
 */
const SECTION_END = Buffer.from("\r\n\r\n");
/** Bytes of a section end that may be in the piece before. */
const MAX_PARTIAL_END = SECTION_END.length - 1;
const NO_BYTES = Buffer.alloc(0);
/**
 * Bytes of a chunked body that are parsed at once. The trailers in a piece are counted by
 * its lines, which is exact only if the piece has little of the body.
 */
const CHUNKED_PIECE_BYTES = 8192;

/** Lines of one chunk: its length, and the end of its bytes. */
const LINES_PER_CHUNK = 2;
/** Bytes of memory for each line of a head, besides its characters. */
const HEADER_LINE_BYTES = 200;

/** Why a connection is closed. */
export type CloseReason =
  | "too_many_connections"
  | "unfinished_bytes"
  | "read_ahead"
  | "head_too_large"
  | "head_too_slow"
  | "idle";

/** Status lines of the reasons that concern one request. */
const STATUS_LINES: Partial<Record<CloseReason, string>> = {
  head_too_large: "431 Request Header Fields Too Large",
  head_too_slow: "408 Request Timeout",
};
const REFUSAL_HEADERS = "Connection: close\r\nContent-Length: 0\r\n";

/** What of a request a connection is receiving. */
export type ReadingPhase = "none" | "head" | "body" | "upgraded";

/** Bytes that are parsed at once. */
interface Piece {
  readonly length: number;
  /** Bytes of them that belong to the current section. */
  readonly sectionBytes: number;
}

/** The connections that a reader belongs to. */
export interface ReaderOwner {
  /** Whether a connection may have more than one request served. */
  readonly hasSharedPlaces: boolean;
  readonly maxHeadBytes: number;
  /** Called when a request was parsed, and when one was answered or given up. */
  onOpenRequests(reader: ConnectionReader, change: 1 | -1): void;
  /** Called when {@link ConnectionReader.unfinishedBytes} may have changed. */
  onBytes(reader: ConnectionReader): void;
  /** Whether more may be parsed in this turn of the event loop. */
  readonly hasWorkLeft: boolean;
  /** Counts work of this turn. */
  countWork(units: number): void;
  /** Has {@link ConnectionReader.continue} called in a later turn. */
  wait(reader: ConnectionReader): void;
  /** Called when the client has sent more than it may. */
  onExcess(reader: ConnectionReader, kind: "head" | "ahead"): void;
}

/** Reads one connection. */
export class ConnectionReader implements MessageObserver {
  readonly #socket: Socket;
  readonly #owner: ReaderOwner;
  /** Passes bytes to the parser. */
  readonly #parse: (bytes: Buffer) => void;
  readonly #onData = (bytes: Buffer) => this.#receive(bytes);
  readonly #open = new Set<ServerResponse>();
  #phase: ReadingPhase = "none";
  #request: ObservedRequest | undefined;
  /** Bytes that were read and not parsed: requests ahead, or work of a later turn. */
  #rest: Buffer = NO_BYTES;
  /** The last bytes that were parsed of the current section. */
  #sectionTail: Buffer = NO_BYTES;
  /** Bytes of the head, or of a chunked body since bytes of the body itself. */
  #sectionBytes = 0;
  /** Lines of headers or trailers among them. */
  #sectionLines = 0;
  #bodyBytes = 0;
  /** Pieces in which the parser has passed on bodies; a chunk is one at least. */
  #bodyPieces = 0;
  #isParsing = false;

  /** Takes over the bytes of a connection of an HTTP server. */
  constructor(socket: Socket, owner: ReaderOwner) {
    this.#socket = socket;
    this.#owner = owner;
    const [parse] = socket.listeners("data");
    Debug.assert(parse !== undefined, "The HTTP server reads no data");
    this.#parse = parse as (bytes: Buffer) => void;
    socket.removeListener("data", this.#parse);
    // The HTTP server stops reading the socket itself once there is a listener.
    socket.on("data", this.#onData);
    socket.on("resume", () => {
      if (this.#rest.length > 0) this.#parseRest();
    });
    observeMessages(socket, this);
  }

  get socket(): Socket {
    return this.#socket;
  }

  get phase(): ReadingPhase {
    return this.#phase;
  }

  /** Requests that have not been answered. */
  get openRequests(): number {
    return this.#open.size;
  }

  /** Whether all answers are written, and the client has not read them. */
  get isUnread(): boolean {
    if (this.#open.size === 0) return false;
    return [...this.#open].every((response) => response.writableEnded);
  }

  /**
   * Bytes of memory that a head or trailers that are not complete occupy, and requests
   * ahead. A short line occupies many times its length.
   */
  get unfinishedBytes(): number {
    return this.#sectionBytes + this.#sectionLines * HEADER_LINE_BYTES +
      this.#rest.buffer.byteLength;
  }

  onRequest(request: ObservedRequest): void {
    this.#request = request;
    this.#bodyBytes = 0;
    this.#startSection();
    this.#phase = "body";
  }

  onBody(bytes: number): void {
    this.#owner.countWork(1);
    this.#bodyBytes += bytes;
    this.#bodyPieces++;
  }

  onResponse(response: ServerResponse): void {
    this.#owner.countWork(WORK_PER_REQUEST + response.req.rawHeaders.length);
    this.#open.add(response);
    this.#owner.onOpenRequests(this, 1);
    response.once("close", () => this.#onAnswered(response));
  }

  /** Parses what is left of an earlier turn of the event loop. */
  continue(): void {
    this.#socket.resume();
    this.#parseRest();
  }

  /**
   * Closes the connection. If nothing else is being answered, the client is told why
   * first, where a status says so.
   */
  refuse(reason: CloseReason): void {
    const statusLine = STATUS_LINES[reason];
    const isTold = statusLine !== undefined && this.#open.size === 0 &&
      this.#socket.writable;
    if (!isTold) return void this.#socket.destroy();
    this.#socket.write(`HTTP/1.1 ${statusLine}\r\n${REFUSAL_HEADERS}\r\n`);
    this.#socket.destroySoon();
  }

  /** Gives up all requests of a connection that was closed. */
  onClosed(): void {
    this.#rest = NO_BYTES;
    for (const response of [...this.#open]) {
      // Node.js reports the close only to the response that it is sending.
      if (response.socket === null) response.emit("close");
    }
  }

  #onAnswered(response: ServerResponse): void {
    if (!this.#open.delete(response)) return;
    this.#owner.onOpenRequests(this, -1);
    if (this.#rest.length > 0) this.#parseRest();
  }

  #receive(bytes: Buffer): void {
    this.#rest = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    this.#parseRest();
    const isAhead = this.#phase === "none";
    if (isAhead && this.#rest.length > MAX_READ_AHEAD_BYTES) {
      this.#owner.onExcess(this, "ahead");
    }
  }

  #parseRest(): void {
    if (this.#isParsing) return;
    this.#isParsing = true;
    while (this.#rest.length > 0 && this.#mayParse()) this.#parsePiece();
    this.#isParsing = false;
    if (this.#isClosing) this.#rest = NO_BYTES;
    if (this.#rest.length > 0 && !this.#owner.hasWorkLeft) this.#wait();
    this.#rest = copyIfSmall(this.#rest);
    if (this.#phase === "upgraded") this.#release();
    this.#owner.onBytes(this);
  }

  #wait(): void {
    if (this.#socket.isPaused()) return;
    this.#socket.pause();
    this.#owner.wait(this);
  }

  /** Whether nothing that the client sends can have an effect any more. */
  get #isClosing(): boolean {
    return this.#socket.destroyed || this.#socket.writableEnded;
  }

  #mayParse(): boolean {
    if (this.#isClosing || this.#phase === "upgraded") return false;
    // The HTTP server pauses the socket while a body is not consumed.
    if (this.#socket.isPaused() || !this.#owner.hasWorkLeft) return false;
    return this.#phase !== "none" || this.#mayBegin();
  }

  /** Whether the next request may be parsed. */
  #mayBegin(): boolean {
    if (this.#open.size === 0) return true;
    return this.#open.size < MAX_REQUESTS_AHEAD &&
      this.#owner.hasSharedPlaces && !this.#isUnsent;
  }

  /** Whether earlier answers fill the buffers of the connection. */
  get #isUnsent(): boolean {
    if (this.#socket.writableNeedDrain) return true;
    let bytes = 0;
    for (const response of this.#open) bytes += response.writableLength;
    return bytes >= this.#socket.writableHighWaterMark;
  }

  #parsePiece(): void {
    if (this.#phase === "none") this.#phase = "head";
    const { length, sectionBytes } = this.#getNextPiece();
    const isAll = length === this.#rest.length;
    const piece = isAll ? this.#rest : this.#rest.subarray(0, length);
    this.#rest = isAll ? NO_BYTES : this.#rest.subarray(length);
    this.#sectionBytes += sectionBytes;
    const isHead = this.#phase === "head";
    if (isHead && this.#sectionBytes > this.#owner.maxHeadBytes) {
      return this.#owner.onExcess(this, "head");
    }
    const bodyPieces = this.#bodyPieces;
    this.#parse(piece);
    this.#updatePhase(length - sectionBytes);
    this.#countSection(piece, this.#bodyPieces - bodyPieces);
  }

  /** Updates the phase after a piece, of which some bytes followed its section. */
  #updatePhase(followingBytes: number): void {
    if (this.#phase === "body" && this.#request?.upgrade) {
      this.#phase = "upgraded";
      return;
    }
    if (this.#phase === "body" && this.#request?.complete) {
      const nextHeadBytes = Math.max(0, followingBytes - this.#bodyBytes);
      this.#phase = nextHeadBytes > 0 ? "head" : "none";
      this.#startSection();
      this.#sectionBytes = nextHeadBytes;
    }
  }

  #startSection(): void {
    this.#sectionBytes = 0;
    this.#sectionLines = 0;
    this.#sectionTail = NO_BYTES;
  }

  /** Counts what a piece has added to a head or to trailers. */
  #countSection(piece: Buffer, bodyPieces: number): void {
    const isHead = this.#phase === "head";
    const isChunked = this.#phase === "body" &&
      this.#leftBodyBytes === undefined;
    if (!isHead && !isChunked) return this.#startSection();
    if (isChunked && bodyPieces > 0) this.#startSection();
    this.#sectionTail = getTail(this.#sectionTail, piece);
    const chunkLines = LINES_PER_CHUNK * bodyPieces;
    const lines = Math.max(0, countLines(piece) - chunkLines);
    this.#sectionLines += lines;
    this.#owner.countWork(lines);
  }

  /** Returns the next piece, which completes one request at most. */
  #getNextPiece(): Piece {
    const { length } = this.#rest;
    const left = this.#phase === "body" ? this.#leftBodyBytes : undefined;
    if (left !== undefined) return createPiece(Math.min(left, length));
    const end = this.#findSectionEnd();
    if (this.#phase === "body") {
      return createPiece(Math.min(end ?? length, CHUNKED_PIECE_BYTES));
    }
    if (end === undefined) return createPiece(length);
    // A short body is parsed together with its head, if no other request can end in it.
    const isShort = length - end <= CHUNKED_PIECE_BYTES;
    const isOne = isShort && this.#rest.indexOf(SECTION_END, end) < 0;
    return { length: isOne ? length : end, sectionBytes: end };
  }

  /** Bytes of the body that are missing; undefined if it has no length. */
  get #leftBodyBytes(): number | undefined {
    const headers = this.#request?.headers;
    if (headers?.["transfer-encoding"] !== undefined) return undefined;
    const length = Number(headers?.["content-length"]);
    return Number.isSafeInteger(length) && length > this.#bodyBytes
      ? length - this.#bodyBytes
      : undefined;
  }

  #findSectionEnd(): number | undefined {
    const tail = this.#sectionTail;
    if (tail.length > 0) {
      const start = this.#rest.subarray(0, MAX_PARTIAL_END);
      const at = Buffer.concat([tail, start]).indexOf(SECTION_END);
      if (at >= 0) return at + SECTION_END.length - tail.length;
    }
    const at = this.#rest.indexOf(SECTION_END);
    return at < 0 ? undefined : at + SECTION_END.length;
  }

  /** Returns an upgraded connection, which the HTTP server has passed on. */
  #release(): void {
    this.#socket.removeListener("data", this.#onData);
    if (this.#rest.length > 0) this.#socket.unshift(this.#rest);
    this.#rest = NO_BYTES;
    this.#startSection();
  }
}

function createPiece(length: number): Piece {
  return { length, sectionBytes: length };
}

/** Returns the last bytes of a section that may be the start of its end. */
function getTail(before: Buffer, piece: Buffer): Buffer {
  const bytes = piece.length >= MAX_PARTIAL_END
    ? piece
    : Buffer.concat([before, piece]);
  const tail = bytes.subarray(-MAX_PARTIAL_END);
  return tail.includes("\r") ? Buffer.from(tail) : NO_BYTES;
}

/** Copies bytes that would keep a much larger buffer in memory. */
function copyIfSmall(bytes: Buffer): Buffer {
  if (bytes.length === 0) return NO_BYTES;
  if (bytes.length * 2 >= bytes.buffer.byteLength) return bytes;
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}
