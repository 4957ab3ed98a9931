/**
 * The connections to one back end, each used by one call at a time.
 *
 * The client library's own pool takes the first connection that is free, also one that
 * is closed and has to be made anew, while others rest; and it trusts a server's promise
 * of how long they last. Here the one that rested least is taken, and none that rested
 * for longer than is known to be safe.
 *
 * @module
 */
import type { Socket } from "node:net";
import { Client } from "undici";
import type { buildConnector } from "undici";
import type { IdleLifetime } from "../policy/idle_lifetime.ts";
import { PausableReading } from "./pausable_reading.ts";

/** Options of {@link HttpConnections}. */
export interface HttpConnectionsOptions {
  /** Host and port. */
  readonly address: string;
  /** Connections that are kept, at most. */
  readonly most: number;
  readonly connect: buildConnector.connector;
  readonly lifetime: IdleLifetime;
}

/**
 * Milliseconds before the promised end from which a connection is not used: a request is
 * on its way for a few of them, and timers fire late.
 */
const PROMISE_MARGIN_MS = 250;
/** Milliseconds for which connections of servers that promise nothing are kept. */
const UNPROMISED_MS = 4000;
/** The promise in the header of that name, in seconds. */
const PROMISED_SECONDS = /timeout=(\d+)/i;

/** Headers of an answer, as the client library gives them. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** One connection, as a call uses it. */
export class HttpConnection {
  readonly client: Client;
  /** Calls that use it or wait for it. */
  #calls = 0;
  #answers = 0;
  #restsSince = 0;
  #usableMs = 0;
  #isLost = false;
  #reading: PausableReading | undefined;

  /** Nothing was sent on it. */
  constructor(client: Client) {
    this.client = client;
  }

  get isIdle(): boolean {
    return this.#calls === 0;
  }

  /** Reading from its socket; undefined before it is connected. */
  get reading(): PausableReading | undefined {
    return this.#reading;
  }

  /** It is connected by a socket that nobody has read from. */
  noteConnected(socket: Socket): void {
    this.#reading = new PausableReading(socket);
  }

  /** Whether the server closed it while a call was under way. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Whether a call was answered on it before, so that it may have died since. */
  get wasUsed(): boolean {
    return this.#answers > 0;
  }

  get calls(): number {
    return this.#calls;
  }

  /** Milliseconds since its last answer. */
  getRestedMs(now: number): number {
    return now - this.#restsSince;
  }

  /** The server closed it. */
  noteLost(): void {
    this.#isLost = true;
  }

  /** A call uses it from now on. */
  begin(): void {
    this.#calls++;
  }

  /** A call ended well; the connection can rest for so long. */
  rest(usableMs: number, now: number): void {
    this.#calls--;
    this.#answers++;
    this.#usableMs = usableMs;
    this.#restsSince = now;
  }

  /** Whether it has rested for longer than the server promised, or than the limit. */
  isOld(limitMs: number, now: number): boolean {
    return this.isIdle &&
      this.getRestedMs(now) >= Math.min(this.#usableMs, limitMs);
  }
}

/** The connections to one back end. */
export class HttpConnections {
  readonly #options: HttpConnectionsOptions;
  /** All of them, the one that was used last at the end. */
  readonly #connections: HttpConnection[] = [];

  /** Connects when something is taken. */
  constructor(options: HttpConnectionsOptions) {
    this.#options = options;
  }

  /** The connection for the next call. */
  take(now: number): HttpConnection {
    this.#closeOld(now);
    const idle = this.#connections.findLast(({ isIdle }) => isIdle);
    const connection = idle ?? this.#addOrShare();
    connection.begin();
    return connection;
  }

  /** A call ended well, and its connection may rest for so long. */
  keep(connection: HttpConnection, usableMs: number, now: number): void {
    if (connection.isLost) return this.drop(connection);
    connection.rest(usableMs, now);
    if (!this.#remove(connection)) return;
    this.#connections.push(connection);
  }

  /** A call ended, and with it its connection. */
  drop(connection: HttpConnection): void {
    this.#remove(connection);
    // The library still has to end the call's connection by itself.
    queueMicrotask(() => void connection.client.destroy().catch(ignore));
  }

  /** Closes all of them; calls under way fail. */
  async close(): Promise<void> {
    const open = this.#connections.splice(0);
    await Promise.all(open.map(({ client }) => client.destroy()));
  }

  #closeOld(now: number): void {
    const limitMs = this.#options.lifetime.getLimitMs(now);
    const old = this.#connections.filter((connection) =>
      connection.isOld(limitMs, now)
    );
    for (const connection of old) this.drop(connection);
  }

  #addOrShare(): HttpConnection {
    if (this.#connections.length < this.#options.most) return this.#add();
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
          if (socket) connection.noteConnected(socket);
          callback(...result);
        }),
      keepAliveTimeout: UNPROMISED_MS,
      keepAliveTimeoutThreshold: PROMISE_MARGIN_MS,
      // Deadlines are ours, not the client's.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = new HttpConnection(client);
    client.on("disconnect", () => {
      if (connection.isIdle) this.drop(connection);
      else connection.noteLost();
    });
    this.#connections.push(connection);
    return connection;
  }

  /** Whether it was still among those that are kept. */
  #remove(connection: HttpConnection): boolean {
    const index = this.#connections.indexOf(connection);
    if (index >= 0) this.#connections.splice(index, 1);
    return index >= 0;
  }
}

/**
 * Milliseconds for which a connection can rest after an answer with these headers.
 *
 * @example
 * ```ts
 * getUsableMs({ "keep-alive": "timeout=10" }); // 9750
 * getUsableMs({ "connection": "close" }); // 0
 * ```
 */
export function getUsableMs(headers: AnswerHeaders): number {
  if (/\bclose\b/i.test(String(headers["connection"] ?? ""))) return 0;
  const promise = PROMISED_SECONDS.exec(String(headers["keep-alive"] ?? ""));
  if (promise === null) return UNPROMISED_MS;
  return Math.max(0, Number(promise[1]) * 1000 - PROMISE_MARGIN_MS);
}

/** A connection that is closed twice is closed. */
function ignore(): void {}
