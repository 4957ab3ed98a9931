/**
 * An HTTP server on one address.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { listenOn } from "./address.ts";

/** Largest headers of one request, in bytes. */
const MAX_HEADER_BYTES = 16_384;

/** An HTTP server on one address. */
export class HttpListener {
  readonly #server: Server;

  /** Does not listen yet; without `handle` it serves upgrades alone. */
  constructor(handle: RequestListener = answerNotFound) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, handle);
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

const answerNotFound: RequestListener = (_incoming, outgoing) => {
  outgoing.writeHead(404).end();
};
