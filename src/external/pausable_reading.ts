/**
 * Stops and continues reading from the connection of a call.
 *
 * The client library's own `pause` stops its parser. An answer that ends with its
 * connection, and ends or is reset while the parser is paused, then fails an assertion in
 * the library and with it the process; a whole answer of known length counts as broken
 * when its server closes (undici 7.30.2). Here the parser is never paused: the library
 * pulls bytes by `read`, which gives nothing while reading is paused, so that bytes and
 * the end stay in the socket, in their order, and back pressure reaches the server.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

const NOTHING = Buffer.alloc(0);
/**
 * Milliseconds between two checks for a reset. Node.js does not hear of one while its
 * buffer is full, as it does not read then.
 */
const CHECK_INTERVAL_MS = 500;

/** Reading from one socket. */
export class PausableReading {
  readonly #socket: Socket;
  #isPaused = false;
  #check: NodeJS.Timeout | undefined;

  /** Takes over a socket that the client library has not seen. */
  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => this.#isPaused ? null : read(size);
    socket.once("close", () => this.#stopCheck());
  }

  /** Bytes that were received and not read. */
  get unreadBytes(): number {
    return this.#socket.readableLength;
  }

  /** Gives nothing more to the client library. */
  pause(): void {
    if (this.#isPaused || this.#socket.destroyed) return;
    this.#isPaused = true;
    this.#check = setInterval(() => this.#findReset(), CHECK_INTERVAL_MS);
    this.#check.unref();
  }

  /** Goes on, not within the caller's turn: the parser may be at work there. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#stopCheck();
    setImmediate(() => {
      const isWanted = !this.#isPaused && !this.#socket.destroyed;
      if (isWanted) this.#socket.emit("readable");
    });
  }

  #findReset(): void {
    if (this.#socket.writable && this.#socket.writableLength === 0) {
      isReset(this.#socket);
    }
  }

  #stopCheck(): void {
    clearInterval(this.#check);
    this.#check = undefined;
  }
}

/**
 * Whether a socket is known to be reset. A write of no bytes sends nothing and fails on a
 * socket that is; the socket's `error` event follows then.
 *
 * @example
 * ```ts
 * socket.prependListener("end", () => console.log(isReset(socket)));
 * ```
 */
export function isReset(socket: Socket): boolean {
  if (socket.writable) socket.write(NOTHING);
  return socket.errored !== null;
}
