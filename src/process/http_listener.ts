/**
 * An HTTP server on one address.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { listenOn } from "./address.ts";

/** Maximum size of the headers of one request, in bytes. */
const MAX_HEADER_BYTES = 16_384;

/** An HTTP server on one address. */
export class HttpListener {
  readonly #server: Server;

  /**
   * Creates a server without listening yet. Without `handle` it only serves upgrades.
   */
  constructor(handle: RequestListener = answerNotFound) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, handle);
    // A request may take long while its tokens are streamed; deadlines are enforced
    // elsewhere.
    this.#server.requestTimeout = 0;
  }

  /** The server, for handling upgrades. */
  get server(): Server {
    return this.#server;
  }

  /**
   * Starts to listen.
   *
   * @throws when the address is not available
   */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  /** Sets the milliseconds for which an idle connection is kept. */
  setIdleLimit(limitMs: number): void {
    this.#server.keepAliveTimeout = limitMs;
  }

  /** Accepts no new connections and closes the idle ones. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes the server and all open connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

const answerNotFound: RequestListener = (_incoming, outgoing) => {
  outgoing.writeHead(404).end();
};
