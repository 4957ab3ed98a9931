/**
 * The connections to one back end, each used by one call at a time.
 *
 * The client library's own pool picks the first free connection, even one that is
 * closed and must be established again while others are idle, and it trusts the
 * keep-alive time that a server announces. This pool picks the connection that was idle
 * for the shortest time, and none that was idle for longer than is known to be safe.
 *
 * @module
 */
import type { Socket } from "node:net";
import { Client } from "undici";
import type { buildConnector } from "undici";
import type { IdleLifetime } from "../policy/idle_lifetime.ts";
import type { SocketAddress } from "../messages/socket_address.ts";
import { ConnectionEnd } from "./connection_end.ts";
import { PausableReading } from "./pausable_reading.ts";

/** Options of {@link HttpConnections}. */
export interface HttpConnectionsOptions {
  readonly address: SocketAddress;
  /** Maximum number of connections. */
  readonly maxConnections: number;
  readonly connect: buildConnector.connector;
  readonly lifetime: IdleLifetime;
}

/**
 * Milliseconds before the end of the announced keep-alive time from which a connection
 * is not reused: a request is in transit for a few of them, and timers fire late.
 */
const KEEP_ALIVE_MARGIN_MS = 250;
/**
 * Milliseconds for which an idle connection is reusable if the server announces no
 * time.
 */
const DEFAULT_REUSABLE_MS = 4000;
/** The time in a `Keep-Alive` header, in seconds. */
const KEEP_ALIVE_SECONDS = /timeout=(\d+)/i;

/** Headers of an answer in the format of the client library. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** One connection with its state. */
export class HttpConnection {
  readonly client: Client;
  /** Calls that use the connection or wait for it. */
  #calls = 0;
  #answers = 0;
  #idleSince = 0;
  #reusableMs = 0;
  #isDisconnected = false;
  #reading: PausableReading | undefined;
  #end: ConnectionEnd | undefined;

  /** Creates the state of a connection that was not used yet. */
  constructor(client: Client) {
    this.client = client;
  }

  get isIdle(): boolean {
    return this.#calls === 0;
  }

  /** Controls reading from the socket; undefined before it is connected. */
  get reading(): PausableReading | undefined {
    return this.#reading;
  }

  /** The end of the connection; undefined before it is connected. */
  get end(): ConnectionEnd | undefined {
    return this.#end;
  }

  /** Called with the connected socket, from which nothing was read yet. */
  onConnected(socket: Socket): void {
    this.#reading = new PausableReading(socket);
    this.#end = new ConnectionEnd(socket);
  }

  /** Whether the server closed the connection during a call. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /**
   * Whether a call was answered on the connection, so that the server may have closed
   * it since.
   */
  get hasAnswered(): boolean {
    return this.#answers > 0;
  }

  get calls(): number {
    return this.#calls;
  }

  /** Returns the milliseconds since the last answer. */
  getIdleMs(now: number): number {
    return now - this.#idleSince;
  }

  /** Called when the server closes the connection during a call. */
  onDisconnected(): void {
    this.#isDisconnected = true;
  }

  /** Adds a call. */
  startCall(): void {
    this.#calls++;
  }

  /** Removes a call that was answered; the connection is reusable for `reusableMs`. */
  endCall(reusableMs: number, now: number): void {
    this.#calls--;
    this.#answers++;
    this.#reusableMs = reusableMs;
    this.#idleSince = now;
  }

  /**
   * Returns whether the connection was idle for longer than the server announced, or
   * than the limit.
   */
  isExpired(limitMs: number, now: number): boolean {
    return this.isIdle &&
      this.getIdleMs(now) >= Math.min(this.#reusableMs, limitMs);
  }
}

/** The connections to one back end. */
export class HttpConnections {
  readonly #options: HttpConnectionsOptions;
  /** All connections; the most recently used is last. */
  readonly #connections: HttpConnection[] = [];

  /** Creates a pool that connects on demand. */
  constructor(options: HttpConnectionsOptions) {
    this.#options = options;
  }

  /** Returns the connection for the next call. */
  acquire(now: number): HttpConnection {
    this.#discardExpired(now);
    const idle = this.#connections.findLast(({ isIdle }) => isIdle);
    const connection = idle ?? this.#addOrPickLeastUsed();
    connection.startCall();
    return connection;
  }

  /** Returns the connection of an answered call, which is reusable for `reusableMs`. */
  release(connection: HttpConnection, reusableMs: number, now: number): void {
    if (connection.isDisconnected) return this.discard(connection);
    connection.endCall(reusableMs, now);
    if (!this.#remove(connection)) return;
    this.#connections.push(connection);
  }

  /** Closes the connection of a call that has ended. */
  discard(connection: HttpConnection): void {
    this.#remove(connection);
    // The library first completes its own handling of the call.
    queueMicrotask(() => void connection.client.destroy().catch(ignore));
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    const open = this.#connections.splice(0);
    await Promise.all(open.map(({ client }) => client.destroy()));
  }

  #discardExpired(now: number): void {
    const limitMs = this.#options.lifetime.getLimitMs(now);
    const expired = this.#connections.filter((connection) =>
      connection.isExpired(limitMs, now)
    );
    for (const connection of expired) this.discard(connection);
  }

  #addOrPickLeastUsed(): HttpConnection {
    if (this.#connections.length < this.#options.maxConnections) {
      return this.#add();
    }
    return this.#connections.reduce((least, one) =>
      one.calls < least.calls ? one : least
    );
  }

  #add(): HttpConnection {
    const { address, connect } = this.#options;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, socket] = result;
          if (socket) connection.onConnected(socket);
          callback(...result);
        }),
      keepAliveTimeout: DEFAULT_REUSABLE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // Deadlines are enforced by the callers of this module.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = new HttpConnection(client);
    client.on("disconnect", () => {
      if (connection.isIdle) this.discard(connection);
      else connection.onDisconnected();
    });
    this.#connections.push(connection);
    return connection;
  }

  /** Removes a connection; returns whether it was in the pool. */
  #remove(connection: HttpConnection): boolean {
    const index = this.#connections.indexOf(connection);
    if (index >= 0) this.#connections.splice(index, 1);
    return index >= 0;
  }
}

/**
 * Returns the milliseconds for which a connection is reusable after an answer with
 * these headers.
 *
 * @example
 * ```ts
 * getReusableMs({ "keep-alive": "timeout=10" }); // 9750
 * getReusableMs({ "connection": "close" }); // 0
 * ```
 */
export function getReusableMs(headers: AnswerHeaders): number {
  if (/\bclose\b/i.test(String(headers["connection"] ?? ""))) return 0;
  const keepAlive = KEEP_ALIVE_SECONDS.exec(
    String(headers["keep-alive"] ?? ""),
  );
  if (keepAlive === null) return DEFAULT_REUSABLE_MS;
  return Math.max(0, Number(keepAlive[1]) * 1000 - KEEP_ALIVE_MARGIN_MS);
}

/** Ignores the error of a connection that is closed twice. */
function ignore(): void {}
