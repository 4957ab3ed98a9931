/**
 * An HTTP server on one address.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import type { Socket } from "node:net";
import { listenOn } from "./address.ts";
import {
  type ConnectionLimits,
  DEFAULT_LIMITS,
  MAX_HEAD_BYTES,
} from "./connection_limits.ts";
import { ObservedRequest, ObservedResponse } from "./http_messages.ts";
import { type CloseListener, OpenConnections } from "./open_connections.ts";

/** Options of an {@link HttpListener}. */
export interface HttpListenerOptions {
  /** Limits that differ from the default ones. */
  readonly limits?: Partial<ConnectionLimits>;
  /** Called when a connection is closed because of a limit. */
  readonly onClose?: CloseListener;
}

/** An HTTP server on one address. */
export class HttpListener {
  readonly #server: Server;
  readonly #connections: OpenConnections;

  /**
   * Creates a server without listening yet. Without `handle` it only serves upgrades.
   */
  constructor(
    handle: RequestListener = answerNotFound,
    { limits, onClose }: HttpListenerOptions = {},
  ) {
    this.#connections = new OpenConnections(
      { ...DEFAULT_LIMITS, ...limits },
      onClose ?? (() => {}),
    );
    this.#server = createServer({
      // The limit that is in force is checked before a head is parsed.
      maxHeaderSize: MAX_HEAD_BYTES,
      IncomingMessage: ObservedRequest,
      ServerResponse: ObservedResponse,
    }, handle);
    // Node.js would leave out further headers without an error.
    this.#server.maxHeadersCount = 0;
    // A request may take long while its tokens are streamed; deadlines are enforced
    // elsewhere.
    this.#server.requestTimeout = 0;
    this.#server.on("connection", (socket: Socket) => {
      this.#connections.add(socket);
    });
  }

  /** The server, for handling upgrades. */
  get server(): Server {
    return this.#server;
  }

  /** The connections that are open and not upgraded. */
  get connections(): OpenConnections {
    return this.#connections;
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
    this.#connections.setLimits({ idleLimitMs: limitMs });
  }

  /**
   * Sets what a head may take; from then on {@link checkConnections} must be called
   * regularly.
   */
  setHeadLimits(
    limits: Pick<ConnectionLimits, "maxHeadBytes" | "headTimeoutMs">,
  ): void {
    // The limit of Node.js also counts the time before the first byte.
    this.#server.headersTimeout = 0;
    this.#connections.setLimits(limits);
  }

  /** Closes connections that are idle, or have sent a head, for too long. */
  checkConnections(now: number): void {
    this.#connections.check(now);
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
