/**
 * A back end that is called by HTTP.
 *
 * @module
 */
import type { Socket } from "node:net";
import { buildConnector, type Dispatcher, Pool } from "undici";
import {
  BackEnd,
  type BackEndCall,
  type BackEndFailure,
  type BackEndListener,
  type BackEndRequest,
} from "./back_end.ts";
import { endToEndHeadersOf } from "../core/http_headers.ts";

const CONNECT_LIMIT_MS = 2000;

/** Errors after which no byte of the request can have been sent. */
const NOT_BEGUN_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Options of an {@link HttpBackEnd}. */
export interface HttpBackEndOptions {
  /** Host and port. */
  readonly address: string;
  /** Connections that are kept to it, at most. */
  readonly connections: number;
  /** Milliseconds in which a connection must be made. */
  readonly connectLimitMs?: number;
}

/** A back end that is called by HTTP. */
export class HttpBackEnd extends BackEnd {
  readonly #pool: Pool;
  readonly #resets = new ResetDetector();

  /** Connects on the first call. */
  constructor(options: HttpBackEndOptions) {
    super();
    this.#pool = new Pool(`http://${options.address}`, {
      connections: options.connections,
      pipelining: 1,
      connect: this.#resets.createConnector(
        options.connectLimitMs ?? CONNECT_LIMIT_MS,
      ),
      // Deadlines are ours, not the client's.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  override start(
    request: BackEndRequest,
    listener: BackEndListener,
  ): BackEndCall {
    const call = new HttpBackEndCall(listener, {
      limitMs: request.limitMs,
      resets: this.#resets,
    });
    this.#pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers.flatMap(([name, value]) => [name, value]),
      body: request.body.length === 0 ? null : request.body,
    }, call);
    return call;
  }

  override async close(): Promise<void> {
    await this.#pool.destroy();
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
        socket?.on("error", () => this.#noteError());
        if (socket) resetWhenBrokenOff(socket);
        callback(...result);
      });
  }

  #noteError(): void {
    this.#isResetting = true;
    queueMicrotask(() => this.#isResetting = false);
  }
}

/** Code of the error with which the client library ends a call's connection. */
const BROKEN_OFF_CODE = "UND_ERR_INFO";

/** A socket with the flag by which Node.js ends it with a reset. */
interface ResettableSocket {
  resetAndClosing?: boolean;
}

/**
 * A call that is broken off resets its connection. After an orderly close its request
 * stays on the way, and a back end that stood still, or was cut off, begins it seconds
 * after its caller has left; a reset takes it back.
 *
 * Node.js has `resetAndDestroy` for it, but that closes the socket a turn later, in which
 * the library would put the next request on it.
 */
function resetWhenBrokenOff(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: Error & { readonly code?: string }) => {
    const isBrokenOff = error?.code === BROKEN_OFF_CODE;
    if (isBrokenOff) (socket as ResettableSocket).resetAndClosing = true;
    return destroy(error);
  };
}

interface HttpBackEndCallOptions {
  readonly limitMs: number;
  readonly resets: ResetDetector;
}

class HttpBackEndCall implements Dispatcher.DispatchHandler, BackEndCall {
  readonly #listener: BackEndListener;
  readonly #limit: NodeJS.Timeout;
  readonly #resets: ResetDetector;
  #controller: Dispatcher.DispatchController | undefined;
  #isCancelled = false;
  #isLate = false;
  #isOver = false;

  constructor(listener: BackEndListener, options: HttpBackEndCallOptions) {
    this.#listener = listener;
    this.#resets = options.resets;
    this.#limit = setTimeout(() => this.#endLate(), options.limitMs);
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#controller?.abort(new Error("The call was cancelled"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isCancelled) this.cancel();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    // Informational answers come before the real one.
    if (status < 200 || this.#isOver) return;
    const endsWithConnection = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    this.#listener.onHead(status, endToEndHeadersOf(headers), {
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
    if (this.#resets.isResetting) this.#listener.onFailed("broken");
    else this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { readonly code?: string },
  ): void {
    if (!this.#finish()) return;
    this.#listener.onFailed(this.#failureOf(error.code ?? ""));
  }

  #failureOf(code: string): BackEndFailure {
    if (NOT_BEGUN_CODES.has(code)) return "not_begun";
    return this.#isLate ? "late" : "broken";
  }

  #endLate(): void {
    this.#isLate = true;
    this.cancel();
  }

  #finish(): boolean {
    if (this.#isOver) return false;
    this.#isOver = true;
    clearTimeout(this.#limit);
    return true;
  }
}
