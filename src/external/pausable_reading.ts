/**
 * Pauses and resumes reading from the connection of a call, and divides the work of
 * parsing among the turns of the event loop.
 *
 * The client library's own `pause` stops its parser. If an answer that ends with its
 * connection is closed or reset while the parser is paused, an assertion in the library
 * fails and ends the process; a complete answer of known length counts as broken when
 * its server closes (undici 7.30.2). Here the parser is never paused. The library reads
 * with `read`, which returns nothing while reading is paused, so that data and the end
 * stay in the socket in their order, and back pressure reaches the server.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { countLines } from "../core/count_lines.ts";
import { isReset } from "./connection_end.ts";
import { TurnBudget } from "./turn_budget.ts";

/**
 * Milliseconds between two checks for a reset. Node.js does not detect a reset while
 * its buffer is full, as it does not read then.
 */
const RESET_CHECK_INTERVAL_MS = 500;
/**
 * Bytes that are parsed at once, except of a body of known length. The library parses all
 * that one read returns, up to 64 KiB, which takes long if it is thousands of header
 * lines, interim answers or chunks.
 */
const PIECE_BYTES = 4096;
/**
 * Lines that are parsed in one turn of the event loop, over all connections. They stand
 * for what takes time: header lines, interim answers, chunks, and lines of events.
 */
const MAX_LINES_PER_TURN = 1000;

const LINES_BUDGET = new TurnBudget(MAX_LINES_PER_TURN);

/** Controls when the client library reads from one socket, and how much at once. */
export class PausableReading {
  readonly #socket: Socket;
  /** Returns what Node.js has received. */
  readonly #read: Socket["read"];
  #isPaused = false;
  #isInPieces = true;
  /** Whether a piece was read since the last wait for another turn. */
  #hasReadPiece = false;
  #isWaiting = false;
  #resetCheck: NodeJS.Timeout | undefined;

  /** Takes over a socket that was not yet passed to the client library. */
  constructor(socket: Socket) {
    this.#socket = socket;
    this.#read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      if (this.#isPaused) return null;
      return this.#isInPieces ? this.#readPiece() : this.#read(size);
    };
    socket.once("close", () => this.#stopResetCheck());
  }

  /** Bytes that were received but not read. */
  get unreadBytes(): number {
    return this.#socket.readableLength;
  }

  /** Called when a body of known length begins. */
  startBody(): void {
    this.#isInPieces = false;
  }

  /** Called when an answer has ended; the next bytes belong to another head. */
  endAnswer(): void {
    this.#isInPieces = true;
  }

  /** Stops passing data to the client library. */
  pause(): void {
    if (this.#isPaused || this.#socket.destroyed) return;
    this.#isPaused = true;
    this.#resetCheck = setInterval(
      () => this.#detectReset(),
      RESET_CHECK_INTERVAL_MS,
    );
    this.#resetCheck.unref();
  }

  /**
   * Continues reading in a later iteration of the event loop, as the parser may be
   * running during the current call.
   */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#stopResetCheck();
    setImmediate(() => this.#continue());
  }

  /** Returns the next piece, if it may be parsed in this turn of the event loop. */
  #readPiece(): Buffer | null {
    if (this.#isWaiting) return null;
    const { readableLength } = this.#socket;
    if (readableLength <= PIECE_BYTES) return this.#read();
    if (this.#hasReadPiece && LINES_BUDGET.isSpent) {
      this.#waitForNextTurn();
      return null;
    }
    this.#hasReadPiece = true;
    const piece: Buffer = this.#read(PIECE_BYTES);
    LINES_BUDGET.spend(countLines(piece));
    return piece;
  }

  #waitForNextTurn(): void {
    this.#isWaiting = true;
    setImmediate(() => {
      this.#isWaiting = false;
      this.#hasReadPiece = false;
      this.#continue();
    });
  }

  /** Has the library read what was received. */
  #continue(): void {
    const shouldRead = !this.#isPaused && !this.#socket.destroyed;
    if (shouldRead) this.#socket.emit("readable");
  }

  #detectReset(): void {
    // Called for its write, which makes a reset socket emit `error`. Without it, writes in
    // progress do.
    if (this.#socket.writableLength === 0) isReset(this.#socket);
  }

  #stopResetCheck(): void {
    clearInterval(this.#resetCheck);
    this.#resetCheck = undefined;
  }
}
