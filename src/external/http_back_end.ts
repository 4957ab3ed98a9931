/**
 * A back end that is called over HTTP.
 *
 * @module
 */
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { buildConnector, type Dispatcher } from "undici";
import { IdleLifetime } from "../policy/idle_lifetime.ts";
import {
  BackEnd,
  type BackEndCall,
  type BackEndFailure,
  type BackEndListener,
  type BackEndRequest,
} from "./back_end.ts";
import { getEndToEndHeaders } from "../messages/http_headers.ts";
import type { SocketAddress } from "../messages/socket_address.ts";
import { resetWhenClosed } from "../core/socket_reset.ts";
import { isReadableHead } from "./answer_head.ts";
import {
  type AnswerHeaders,
  getReusableMs,
  type HttpConnection,
  HttpConnections,
} from "./http_connections.ts";

const CONNECT_TIMEOUT_MS = 2000;
/**
 * Milliseconds within which the server resets a reused connection that it had closed
 * before: a round trip and the time until the reset is read. The crash of a server that
 * processes the request mostly resets the connection later.
 */
const STALE_RESET_LIMIT_MS = 100;
/**
 * Interim (1xx) answers to one request. A server that reports its progress every few
 * seconds sends fewer, and each takes as much processor time as a final head.
 */
const MAX_INTERIM_ANSWERS = 100;

/** Options of an {@link HttpBackEnd}. */
export interface HttpBackEndOptions {
  readonly address: SocketAddress;
  /** Maximum number of connections to the back end. */
  readonly maxConnections: number;
  /** Milliseconds within which a connection must be established. */
  readonly connectLimitMs?: number;
  /** How long connections may be idle, as observed at all servers of a pool. */
  readonly lifetime?: IdleLifetime;
}

/** A back end that is called over HTTP. */
export class HttpBackEnd extends BackEnd {
  readonly #connections: HttpConnections;
  readonly #lifetime: IdleLifetime;
  readonly #connectLimitMs: number;

  /** Creates a back end that connects on the first call. */
  constructor(options: HttpBackEndOptions) {
    super();
    this.#connectLimitMs = options.connectLimitMs ?? CONNECT_TIMEOUT_MS;
    this.#lifetime = options.lifetime ?? new IdleLifetime();
    this.#connections = new HttpConnections({
      address: options.address,
      maxConnections: options.maxConnections,
      connect: createConnector(this.#connectLimitMs),
      lifetime: this.#lifetime,
    });
  }

  override start(
    request: BackEndRequest,
    listener: BackEndListener,
  ): BackEndCall {
    const connection = this.#connections.acquire(performance.now());
    const call = new HttpBackEndCall(listener, {
      limitMs: request.limitMs,
      mayBegin: request.mayBegin,
      connectLimitMs: this.#connectLimitMs,
      connection,
      connections: this.#connections,
      lifetime: this.#lifetime,
    });
    connection.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers.flatMap(([name, value]) => [name, value]),
      body: request.body.length === 0 ? null : request.body,
    }, call);
    return call;
  }

  override async close(): Promise<void> {
    await this.#connections.close();
  }
}

/** Creates connections on which the answer to a request can end before the request. */
function createConnector(limitMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: limitMs, allowHalfOpen: true });
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) resetWhenAborted(socket);
      callback(...result);
    });
}

/**
 * Code of the error with which the client library destroys the connection of an aborted
 * call.
 */
const ABORTED_CODE = "UND_ERR_INFO";

/**
 * Makes an aborted call reset its connection. After an orderly close, the request would
 * still be delivered, and a back end that was frozen or cut off would start it seconds
 * after its caller has disconnected; a reset discards it.
 *
 * `resetAndDestroy` would close the socket in a later iteration of the event loop,
 * before which the library would send the next request on it.
 */
function resetWhenAborted(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: Error & { readonly code?: string }) => {
    const isAborted = error?.code === ABORTED_CODE;
    if (isAborted) resetWhenClosed(socket);
    return destroy(error);
  };
}

interface HttpBackEndCallOptions {
  readonly limitMs: number;
  /** Whether the request may still be sent; undefined: it may. */
  readonly mayBegin: (() => boolean) | undefined;
  /** Milliseconds within which the connection must be established. */
  readonly connectLimitMs: number;
  readonly connection: HttpConnection;
  readonly connections: HttpConnections;
  readonly lifetime: IdleLifetime;
}

class HttpBackEndCall implements Dispatcher.DispatchHandler, BackEndCall {
  readonly #listener: BackEndListener;
  readonly #options: HttpBackEndCallOptions;
  readonly #timeout: NodeJS.Timeout;
  readonly #startedAt = performance.now();
  /** How long the connection was idle before the call; undefined if it is new. */
  readonly #idleMs: number | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #reusableMs = 0;
  /** Data of the answer that was not passed on yet. */
  #received: Uint8Array[] = [];
  #interimAnswers = 0;
  #hasHead = false;
  #isCancelled = false;
  #isWithheld = false;
  #isLate = false;
  #isPaused = false;
  #isFinished = false;

  constructor(listener: BackEndListener, options: HttpBackEndCallOptions) {
    const { connection, limitMs } = options;
    this.#listener = listener;
    this.#options = options;
    this.#idleMs = connection.hasAnswered
      ? connection.getIdleMs(this.#startedAt)
      : undefined;
    this.#timeout = setTimeout(() => this.#onTimeout(), limitMs);
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#controller?.abort(new Error("The call was cancelled"));
  }

  pause(): void {
    this.#isPaused = true;
    if (this.#isReceivingAnswer) this.#options.connection.reading?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    if (this.#isReceivingAnswer) this.#options.connection.reading?.resume();
  }

  get unreadBytes(): number {
    if (!this.#isPaused || !this.#isReceivingAnswer) return 0;
    return this.#options.connection.reading?.unreadBytes ?? 0;
  }

  /** Whether the connection receives the answer of this call. */
  get #isReceivingAnswer(): boolean {
    return this.#hasHead && !this.#isFinished;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // If connecting took longer, this process was stalled. The caller may have
    // disconnected meanwhile, and the timers that would report it fire only after this.
    const isTooLate =
      performance.now() - this.#startedAt >= this.#startTimeoutMs;
    this.#isWithheld = this.#options.mayBegin?.() === false;
    if (this.#isCancelled || isTooLate || this.#isWithheld) {
      return controller.abort(new Error("The call may no longer be started"));
    }
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (this.#isFinished) return;
    if (status < 200) return this.#onInterimAnswer(controller);
    if (!isReadableHead(status, headers)) {
      return controller.abort(new Error("The answer can't be read"));
    }
    this.#hasHead = true;
    if (this.#isPaused) this.pause();
    this.#reusableMs = this.#getReusableMs(headers);
    this.#listener.onConnectionReusable?.(this.#reusableMs);
    const endsWithConnection = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    const { end, reading } = this.#options.connection;
    if (end !== undefined) end.endsAnswer = endsWithConnection;
    if (headers["content-length"] !== undefined) reading?.startBody();
    this.#listener.onHead(status, getEndToEndHeaders(headers), {
      endsWithConnection,
    });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#isFinished) return;
    this.#received.push(chunk);
    if (this.#received.length === 1) queueMicrotask(() => this.#deliver());
  }

  onResponseEnd(): void {
    this.#deliver();
    if (!this.#finish()) return;
    const { connection, connections } = this.#options;
    if (this.#reusableMs > 0) {
      connections.release(connection, this.#reusableMs, performance.now());
    } else connections.discard(connection);
    this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    _error: Error,
  ): void {
    this.#deliver();
    if (!this.#finish()) return;
    const { connection, connections } = this.#options;
    this.#recordIfStale();
    connections.discard(connection);
    this.#listener.onFailed(this.#getFailure());
  }

  #onInterimAnswer(controller: Dispatcher.DispatchController): void {
    this.#interimAnswers++;
    if (this.#interimAnswers <= MAX_INTERIM_ANSWERS) return;
    controller.abort(new Error("Too many interim answers"));
  }

  /**
   * Passes on what was received in one turn of the event loop as one piece: a server may
   * send chunks of single bytes, each of which costs as much as a large one.
   */
  #deliver(): void {
    const received = this.#received;
    const [first] = received;
    if (first === undefined || this.#isFinished) return;
    this.#received = [];
    this.#listener.onData(
      received.length === 1 ? first : Buffer.concat(received),
    );
  }

  get #startTimeoutMs(): number {
    return Math.min(this.#options.limitMs, this.#options.connectLimitMs);
  }

  #getReusableMs(headers: AnswerHeaders): number {
    const limitMs = this.#options.lifetime.getLimitMs(performance.now());
    return Math.min(limitMs, getReusableMs(headers));
  }

  /** Whether it is certain that no byte of the request was sent. */
  get #isNotBegun(): boolean {
    return this.#controller === undefined;
  }

  /**
   * Records the idle time of a reused connection that the server had already closed, as
   * a reset right after its reuse shows.
   */
  #recordIfStale(): void {
    const isExpected = this.#isCancelled || this.#isNotBegun || this.#hasHead;
    const now = performance.now();
    const isTooLate = now - this.#startedAt > STALE_RESET_LIMIT_MS;
    if (isExpected || isTooLate || this.#idleMs === undefined) return;
    this.#options.lifetime.recordDead(this.#idleMs, now);
  }

  #getFailure(): BackEndFailure {
    if (this.#isWithheld) return "withheld";
    if (this.#isNotBegun) return "not_begun";
    return this.#isLate ? "late" : "broken";
  }

  #onTimeout(): void {
    this.#isLate = true;
    this.cancel();
  }

  #finish(): boolean {
    if (this.#isFinished) return false;
    // The connection may be reused for another call.
    if (this.#isPaused) this.resume();
    const { end, reading } = this.#options.connection;
    if (end !== undefined) end.endsAnswer = false;
    reading?.endAnswer();
    this.#isFinished = true;
    clearTimeout(this.#timeout);
    return true;
  }
}
