/**
 * Resets of TCP connections.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Lets the close of a socket be a reset. Node.js has `resetAndDestroy` for it, but that
 * waits until all is sent, and closes the socket a turn later.
 *
 * @example
 * ```ts
 * resetWhenClosed(socket);
 * socket.destroy();
 * ```
 */
export function resetWhenClosed(socket: Socket): void {
  // The flag that `resetAndDestroy` sets.
  Object.assign(socket, { resetAndClosing: true });
}
