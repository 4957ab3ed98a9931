/**
 * Tells how the connection of an answer that has no length was ended.
 *
 * Such an answer is complete if its server closes the connection in order, and broken if
 * the connection is reset. The client library (undici 7.30.2) treats both alike: after
 * the end of what can be read, and after the error of a reset. Node.js reports a reset
 * as an orderly end if it arrives together with bytes of the answer (`POLLHUP` after a
 * partial read in libuv).
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

const NO_BYTES = Buffer.alloc(0);
/** Code of the error after which the client library completes such an answer. */
const RESET_CODE = "ECONNRESET";

/** The end of one connection, as the client library is told of it. */
export class ConnectionEnd {
  readonly #socket: Socket;
  /** Calls the listeners of an event of the socket. */
  readonly #emit: Socket["emit"];
  /** Whether the end of the connection is the end of the current answer. */
  endsAnswer = false;

  /** Takes over a socket that was not yet passed to the client library. */
  constructor(socket: Socket) {
    this.#socket = socket;
    this.#emit = socket.emit.bind(socket);
    socket.emit = (event: string | symbol, ...values: unknown[]) => {
      if (event === "end" && this.endsAnswer) {
        this.#onEnd();
        return true;
      }
      if (event === "error") return this.#emit("error", hideReset(values[0]));
      return this.#emit(event, ...values);
    };
  }

  /**
   * Reports the end once the request is sent, unless the connection is reset; its error
   * follows then. A server may end its answer early and read on. One that does not read
   * the rest resets the connection, which no write shows before the earlier ones are
   * done.
   */
  #onEnd(): void {
    const socket = this.#socket;
    if (socket.writableLength === 0) {
      if (!isReset(socket)) this.#emit("end");
      return;
    }
    socket.write(NO_BYTES, (error) => {
      if (!error && !socket.destroyed) this.#emit("end");
    });
  }
}

/**
 * Returns whether a socket was reset, once all of its bytes are written. A write of no
 * bytes sends nothing, but fails on a socket that was reset; the socket's `error` event
 * follows.
 *
 * @example
 * ```ts
 * if (socket.writableLength === 0 && isReset(socket)) console.log("reset");
 * ```
 */
export function isReset(socket: Socket): boolean {
  if (socket.writable) socket.write(NO_BYTES);
  return socket.errored !== null;
}

/** Returns an error that the client library does not take for an orderly end. */
function hideReset(error: unknown): unknown {
  const { code } = error as { readonly code?: string };
  if (code !== RESET_CODE) return error;
  return new Error("The connection was reset", { cause: error });
}
