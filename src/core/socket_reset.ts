/**
 * Resets of TCP connections.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Makes the next close of a socket send a reset. Unlike `resetAndDestroy` of Node.js,
 * this neither waits until all data is sent nor defers the close to a later iteration
 * of the event loop.
 *
 * @example
 * ```ts
 * resetWhenClosed(socket);
 * socket.destroy();
 * ```
 */
export function resetWhenClosed(socket: Socket): void {
  // `resetAndDestroy` sets the same flag.
  Object.assign(socket, { resetAndClosing: true });
}
