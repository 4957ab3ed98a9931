/**
 * A back end that is called by HTTP.
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
import { resetWhenClosed } from "../core/socket_reset.ts";
import {
  type AnswerHeaders,
  getUsableMs,
  type HttpConnection,
  HttpConnections,
} from "./http_connections.ts";
import { isReset } from "./pausable_reading.ts";

const CONNECT_LIMIT_MS = 2000;
/**
 * Milliseconds within which a forgotten connection is reset: a way there and back, and
 * time until it is read. A server that crashes while it works mostly does so later.
 */
const FORGOTTEN_WITHIN_MS = 100;

/** Options of an {@link HttpBackEnd}. */
export interface HttpBackEndOptions {
  /** Host and port. */
  readonly address: string;
  /** Connections that are kept to it, at most. */
  readonly connections: number;
  /** Milliseconds in which a connection must be made. */
  readonly connectLimitMs?: number;
  /** For how long connections rest, as learnt with all servers of a pool. */
  readonly lifetime?: IdleLifetime;
}

/** A back end that is called by HTTP. */
export class HttpBackEnd extends BackEnd {
  readonly #connections: HttpConnections;
  readonly #lifetime: IdleLifetime;
  readonly #connectLimitMs: number;
  readonly #resets = new ResetDetector();

  /** Connects on the first call. */
  constructor(options: HttpBackEndOptions) {
    super();
    this.#connectLimitMs = options.connectLimitMs ?? CONNECT_LIMIT_MS;
    this.#lifetime = options.lifetime ?? new IdleLifetime();
    this.#connections = new HttpConnections({
      address: options.address,
      most: options.connections,
      connect: this.#resets.createConnector(this.#connectLimitMs),
      lifetime: this.#lifetime,
    });
  }

  override start(
    request: BackEndRequest,
    listener: BackEndListener,
  ): BackEndCall {
    const connection = this.#connections.take(performance.now());
    const call = new HttpBackEndCall(listener, {
      limitMs: request.limitMs,
      mayBegin: request.mayBegin,
      beginLimitMs: this.#connectLimitMs,
      connection,
      connections: this.#connections,
      lifetime: this.#lifetime,
      resets: this.#resets,
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

/**
 * Tells when a connection is being reset. The client library takes an answer
 * without a length for whole when its connection is reset, and says so while it
 * hears of the reset; only an orderly end makes such an answer whole.
 */
class ResetDetector {
  #isResetting = false;

  /** Whether this turn of the event loop handles a reset connection. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  /** Makes connections whose errors are seen here before the library. */
  createConnector(limitMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: limitMs });
    return (options, callback) =>
      connect(options, (...result) => {
        const [, socket] = result;
        if (socket) {
          socket.on("error", () => this.#noteError());
          this.#watchEnd(socket);
          resetWhenBrokenOff(socket);
        }
        callback(...result);
      });
  }

  /**
   * A reset that is found together with unread bytes is told as an orderly end
   * (libuv, on `POLLHUP` after a partial read).
   */
  #watchEnd(socket: Socket): void {
    socket.prependListener("end", () => {
      if (isReset(socket)) this.#noteError();
    });
  }

  #noteError(): void {
    this.#isResetting = true;
    queueMicrotask(() => this.#isResetting = false);
  }
}

/** Code of the error with which the client library ends a call's connection. */
const BROKEN_OFF_CODE = "UND_ERR_INFO";

/**
 * A call that is broken off resets its connection. After an orderly close its request
 * stays on the way, and a back end that stood still, or was cut off, begins it seconds
 * after its caller has left; a reset takes it back.
 * `resetAndDestroy` would close the socket a turn later, in which the library would put
 * the next request on it.
 */
function resetWhenBrokenOff(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: Error & { readonly code?: string }) => {
    const isBrokenOff = error?.code === BROKEN_OFF_CODE;
    if (isBrokenOff) resetWhenClosed(socket);
    return destroy(error);
  };
}

interface HttpBackEndCallOptions {
  readonly limitMs: number;
  /** Whether its request may still be sent; undefined: it may. */
  readonly mayBegin: (() => boolean) | undefined;
  /** Milliseconds in which its request must be on its way. */
  readonly beginLimitMs: number;
  readonly connection: HttpConnection;
  readonly connections: HttpConnections;
  readonly lifetime: IdleLifetime;
  readonly resets: ResetDetector;
}

class HttpBackEndCall implements Dispatcher.DispatchHandler, BackEndCall {
  readonly #listener: BackEndListener;
  readonly #options: HttpBackEndCallOptions;
  readonly #limit: NodeJS.Timeout;
  readonly #startedAt = performance.now();
  /** How long its connection had rested; undefined: it is a new one. */
  readonly #restedMs: number | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #usableMs = 0;
  #hasHead = false;
  #isCancelled = false;
  #isWithheld = false;
  #isLate = false;
  #isPaused = false;
  #isOver = false;

  constructor(listener: BackEndListener, options: HttpBackEndCallOptions) {
    const { connection, limitMs } = options;
    this.#listener = listener;
    this.#options = options;
    this.#restedMs = connection.wasUsed
      ? connection.getRestedMs(this.#startedAt)
      : undefined;
    this.#limit = setTimeout(() => this.#endLate(), limitMs);
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#controller?.abort(new Error("The call was cancelled"));
  }

  pause(): void {
    this.#isPaused = true;
    if (this.#isAnswering) this.#options.connection.reading?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    if (this.#isAnswering) this.#options.connection.reading?.resume();
  }

  get unreadBytes(): number {
    if (!this.#isPaused || !this.#isAnswering) return 0;
    return this.#options.connection.reading?.unreadBytes ?? 0;
  }

  /** Whether what the connection receives is this call's answer. */
  get #isAnswering(): boolean {
    return this.#hasHead && !this.#isOver;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A connection that took longer was made while the process stood still, and whoever
    // asked may have left meanwhile: the timers that say so fire after this.
    const isOverdue = performance.now() - this.#startedAt >= this.#beginLimitMs;
    this.#isWithheld = this.#options.mayBegin?.() === false;
    if (this.#isCancelled || isOverdue || this.#isWithheld) {
      return controller.abort(new Error("The call is not begun any more"));
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    // Informational answers come before the real one.
    if (status < 200 || this.#isOver) return;
    this.#hasHead = true;
    if (this.#isPaused) this.pause();
    this.#usableMs = this.#getUsableMs(headers);
    this.#listener.onKept?.(this.#usableMs);
    const endsWithConnection = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    this.#listener.onHead(status, getEndToEndHeaders(headers), {
      endsWithConnection,
    });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (!this.#isOver) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (!this.#finish()) return;
    const { connection, connections, resets } = this.#options;
    const isKept = this.#usableMs > 0 && !resets.isResetting;
    if (isKept) connections.keep(connection, this.#usableMs, performance.now());
    else connections.drop(connection);
    if (resets.isResetting) this.#listener.onFailed("broken");
    else this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    _error: Error,
  ): void {
    if (!this.#finish()) return;
    const { connection, connections } = this.#options;
    this.#noteIfDead();
    connections.drop(connection);
    this.#listener.onFailed(this.#getFailure());
  }

  get #beginLimitMs(): number {
    return Math.min(this.#options.limitMs, this.#options.beginLimitMs);
  }

  #getUsableMs(headers: AnswerHeaders): number {
    const limitMs = this.#options.lifetime.getLimitMs(performance.now());
    return Math.min(limitMs, getUsableMs(headers));
  }

  /** Whether no byte of the request can have been sent. */
  get #isNotBegun(): boolean {
    return this.#controller === undefined;
  }

  /** A server that ends a connection at once when it is used again has forgotten it. */
  #noteIfDead(): void {
    const isOurs = this.#isCancelled || this.#isNotBegun || this.#hasHead;
    const now = performance.now();
    const isLater = now - this.#startedAt > FORGOTTEN_WITHIN_MS;
    if (isOurs || isLater || this.#restedMs === undefined) return;
    this.#options.lifetime.recordDead(this.#restedMs, now);
  }

  #getFailure(): BackEndFailure {
    if (this.#isWithheld) return "withheld";
    if (this.#isNotBegun) return "not_begun";
    return this.#isLate ? "late" : "broken";
  }

  #endLate(): void {
    this.#isLate = true;
    this.cancel();
  }

  #finish(): boolean {
    if (this.#isOver) return false;
    // The connection may serve another call.
    if (this.#isPaused) this.resume();
    this.#isOver = true;
    clearTimeout(this.#limit);
    return true;
  }
}
