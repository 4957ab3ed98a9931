/**
 * An HTTP server for a `hono` application.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { getRequestListener } from "@hono/node-server";
import type { Hono } from "hono";
import { listenOn } from "./address.ts";

/** Largest headers of one request, in bytes. */
const MAX_HEADER_BYTES = 16_384;

/** An application that answers on one address. */
export class HttpListener {
  readonly #server: Server;

  /** Does not listen yet. */
  // deno-lint-ignore no-explicit-any
  constructor(app: Hono<any>) {
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES },
      getRequestListener(app.fetch, { overrideGlobalObjects: false }),
    );
    // A stream of tokens may take long; deadlines are kept elsewhere.
    this.#server.requestTimeout = 0;
  }

  /** The server, for upgrades. */
  get server(): Server {
    return this.#server;
  }

  /**
   * Listens.
   *
   * @throws when the address cannot be had
   */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  /** Milliseconds for which an idle connection is kept. */
  setIdleLimit(limitMs: number): void {
    this.#server.keepAliveTimeout = limitMs;
  }

  /** Takes no new connections and closes the idle ones. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes whatever is still open. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
