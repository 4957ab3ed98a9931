/**
 * Pauses and resumes reading from the connection of a call.
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
import type { Socket } from "node:net";
import { isReset } from "./connection_end.ts";

/**
 * Milliseconds between two checks for a reset. Node.js does not detect a reset while
 * its buffer is full, as it does not read then.
 */
const RESET_CHECK_INTERVAL_MS = 500;

/** Controls reading from one socket. */
export class PausableReading {
  readonly #socket: Socket;
  #isPaused = false;
  #resetCheck: NodeJS.Timeout | undefined;

  /** Takes over a socket that was not yet passed to the client library. */
  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => this.#isPaused ? null : read(size);
    socket.once("close", () => this.#stopResetCheck());
  }

  /** Bytes that were received but not read. */
  get unreadBytes(): number {
    return this.#socket.readableLength;
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
    setImmediate(() => {
      const shouldRead = !this.#isPaused && !this.#socket.destroyed;
      if (shouldRead) this.#socket.emit("readable");
    });
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
