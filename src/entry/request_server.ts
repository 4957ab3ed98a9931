/**
 * Serves callers: reads requests, passes events to the entry's reducer, and performs its
 * effects.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { IncomingMessage, ServerResponse } from "node:http";
import { assertNever } from "../core/debug.ts";
import { waitForPendingReads } from "../core/event_loop.ts";
import { logInternalFault, tryHandle } from "../events/internal_faults.ts";
import type { HttpListener } from "../process/http_listener.ts";
import { MeasuredTimer } from "../process/measured_timer.ts";
import type { CallerLimits } from "../external/operator_settings.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { createProblem } from "../refusals/problem.ts";
import { BODY_BOUNDS } from "../settings/schema.ts";
import { CallerBuffers } from "./caller_buffers.ts";
import { CallerConnection } from "./caller_connection.ts";
import { createCallerListener } from "./caller_listener.ts";
import { ScriptsForwarder } from "./scripts_forwarder.ts";
import { tryGetRequestId } from "./concerned_request.ts";
import type {
  CallerArrival,
  CallerExchange,
  RequestServerOptions,
} from "./request_server_types.ts";
import { StallGuard } from "./stall_guard.ts";
import { UnreadRequests } from "./unread_requests.ts";
import type { TargetLinks } from "./target_links.ts";
import type {
  CallerRequest,
  EntryEffect,
  EntryEvent,
  ForwardToScripts,
  SendToTarget,
  StartAnswer,
} from "./types.ts";

/**
 * Milliseconds between two ticks while requests are in flight, and while none are. The
 * first bounds how late a deadline is noticed; each tick wakes up the process.
 */
const BUSY_TICK_MS = 40;
const IDLE_TICK_MS = 250;
/** Milliseconds between two ticks above which the process counts as having stalled. */
const MIN_STALL_MS = 3000;

/** Serves callers. */
export class RequestServer {
  readonly #options: RequestServerOptions;
  readonly #exchanges = new Map<number, CallerExchange>();
  readonly #unread = new UnreadRequests();
  readonly #scripts = new ScriptsForwarder();
  readonly #listener: HttpListener;
  #maxBodyBytes = BODY_BOUNDS.max;
  readonly #buffers: CallerBuffers | undefined;
  readonly #stallGuard = new StallGuard({
    now: () => performance.now(),
    waitForTurn: waitForPendingReads,
    deliver: (event) => this.#reduce(event),
  });
  #links: TargetLinks | undefined;
  readonly #tick: MeasuredTimer;
  #lastTickAt = performance.now();
  #catchUp: Promise<void> | undefined;
  #nextRequestId = 1;
  #isClosing = false;
  #onDrained: (() => void) | undefined;

  /** Creates a server; {@link listen} starts it. */
  constructor(options: RequestServerOptions) {
    this.#options = options;
    this.#tick = new MeasuredTimer(options.metrics.loopDelays);
    const { heldBytesLimit } = options;
    this.#buffers = heldBytesLimit === undefined
      ? undefined
      : new CallerBuffers({
        ...options,
        limitBytes: heldBytesLimit,
        onCut: (caller, connection) =>
          void this.#abortSlowCaller(caller, connection),
      });
    this.#listener = createCallerListener(
      (incoming, outgoing) => this.#onRequest(incoming, outgoing),
      options,
    );
  }

  /** Number of requests that have not been answered completely. */
  get openExchanges(): number {
    return this.#exchanges.size;
  }

  /** Sets the links over which attempts are sent. */
  setLinks(links: TargetLinks): void {
    this.#links = links;
  }

  /** Sets what callers may send. */
  setCallerLimits(limits: CallerLimits): void {
    this.#listener.setIdleLimit(limits.idleLimitMs);
    this.#listener.setHeadLimits(limits);
    this.#maxBodyBytes = limits.maxBodyBytes;
  }

  /**
   * Listens for callers.
   *
   * @throws if the address cannot be bound
   */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
    this.#planTick();
  }

  /** Closes caller connections after their next answer; the process ends by `limitMs`. */
  startClosing(limitMs: number): void {
    this.#isClosing = true;
    const now = performance.now();
    this.dispatch({ kind: "shutdown_planned", now, endAt: now + limitMs });
  }

  /** Refuses new requests; calls `onDrained` when none are in flight any more. */
  drain(onDrained: () => void): void {
    this.#onDrained = onDrained;
    this.#listener.stopListening();
    this.dispatch({ kind: "drain_requested", now: performance.now() });
  }

  /** Ends all requests and closes all connections. */
  close(): void {
    this.#reduce({ kind: "shutdown_ended", now: performance.now() });
    this.#tick.stop();
    this.#listener.close();
    void this.#scripts.close();
  }

  /** Passes an event to the reducer and performs the effects. */
  dispatch(event: EntryEvent): void {
    if (this.#stallGuard.tryDefer(event)) this.#buffers?.onEventDeferred(event);
    else this.#reduce(event);
  }

  #reduce(event: EntryEvent): void {
    let effects: readonly EntryEffect[] = [];
    this.#guard(event, () => effects = this.#options.reducer.reduce(event));
    for (const effect of effects) {
      this.#guard(effect, () => this.#perform(effect));
    }
  }

  /**
   * Handles an event or effect. An exception ends the request that it concerns and no
   * other one. Timers and connections to other processes dispatch events, too, and there
   * an exception would end the process.
   */
  #guard(subject: EntryEvent | EntryEffect, handle: () => void): void {
    if (tryHandle(this.#options.log, subject.kind, handle)) return;
    const requestId = tryGetRequestId(subject);
    if (requestId === undefined || !this.#exchanges.has(requestId)) return;
    this.#abort(requestId);
    // Deferred, as an event must not be dispatched while effects are performed.
    setImmediate(() => this.#reportCallerGone(requestId));
  }

  #planTick(): void {
    const isBusy = this.#options.reducer.inFlight > 0;
    this.#tick.schedule(() => {
      tryHandle(this.#options.log, "tick", () => this.#onTick());
      this.#planTick();
    }, isBusy ? BUSY_TICK_MS : IDLE_TICK_MS);
  }

  #onTick(): void {
    const now = performance.now();
    const gap = now - this.#lastTickAt;
    this.#lastTickAt = now;
    if (gap > MIN_STALL_MS) {
      this.#options.log.write("PAUSED", { milliseconds: Math.round(gap) });
      this.#catchUp = this.#options.onStalled(gap)
        .catch((error) => logInternalFault(this.#options.log, "stall", error))
        .finally(() => this.#catchUp = undefined);
    }
    this.#buffers?.refresh();
    this.#listener.checkConnections(now);
    this.#unread.refuseLate(now, gap > MIN_STALL_MS ? gap : 0);
    this.dispatch({ kind: "tick", now });
  }

  #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { protocol, log } = this.#options;
    const connection = new CallerConnection(incoming, outgoing, protocol);
    this.#serve(connection).catch((error) => {
      log.write("REQUEST_FAULT", { cause: String(error) });
      connection.abort();
    });
  }

  async #serve(connection: CallerConnection): Promise<void> {
    const headReadAt = performance.now();
    this.#options.metrics.countRequest();
    if (this.#isClosing) connection.closeAfterAnswer();
    const id = this.#nextRequestId++;
    this.#buffers?.open(id, connection);
    const meter = this.#buffers?.createMeter(id, connection.headBytes);
    this.#unread.add(id, connection, headReadAt);
    const request = await connection.read(id, {
      meter,
      maxBodyBytes: this.#maxBodyBytes,
    });
    this.#unread.delete(id);
    this.#buffers?.completeBody(id);
    if (request.isErr()) {
      this.#buffers?.finish(id);
      return this.#refuseUnread(connection, request.error);
    }
    if (performance.now() - this.#lastTickAt > MIN_STALL_MS) this.#onTick();
    await this.#catchUp;
    // A caller may have disconnected before its request was read. The end of its socket
    // is read only after the request.
    await waitForPendingReads();
    if (connection.isClosed) {
      return this.#logCallerLeft(request.value, headReadAt);
    }
    await this.#process(request.value, { connection, headReadAt });
  }

  #refuseUnread(connection: CallerConnection, reason: RefusalName): void {
    this.#options.metrics.countRefusal(reason);
    if (reason === "BODIES_FILL_MEMORY") connection.closeAfterAnswer();
    const problem = createProblem(reason, {
      outcome: connection.isKeyed ? "unknown" : "not-run",
      submission: "not-run",
    });
    connection.refuse(problem);
  }

  #logCallerLeft(
    { id, correlationId }: CallerRequest,
    headReadAt: number,
  ): void {
    this.#buffers?.finish(id);
    this.#options.log.write("CALLER_LEFT", {
      request: id,
      correlation: correlationId,
      waitedMs: Math.round(performance.now() - headReadAt),
    });
  }

  /** Passes a request to the reducer; resolves when the request has ended. */
  #process(request: CallerRequest, arrival: CallerArrival): Promise<void> {
    const { id } = request;
    return new Promise((close) => {
      this.#exchanges.set(id, { ...arrival, close });
      arrival.connection.onClosed(() => this.#onCallerGone(id));
      this.dispatch({
        kind: "request_arrived",
        now: performance.now(),
        readAt: arrival.headReadAt,
        request,
      });
    });
  }

  #onCallerGone(requestId: number): void {
    if (!this.#exchanges.has(requestId)) return;
    this.#finish(requestId);
    this.#reportCallerGone(requestId);
  }

  #reportCallerGone(requestId: number): void {
    const now = performance.now();
    this.dispatch({ kind: "caller_gone", now, requestId });
  }

  #perform(effect: EntryEffect): void {
    switch (effect.kind) {
      case "send":
        return this.#send(effect);
      case "forward_to_scripts":
        return void this.#forward(effect);
      case "start_answer":
        return this.#startAnswer(effect);
      case "continue_answer":
        return this.#continueAnswer(effect.requestId, effect.bytes);
      case "finish_answer":
        this.#exchanges.get(effect.requestId)?.connection.finish();
        return this.#onAnswered(effect.requestId);
      case "whole_answer":
        this.#exchanges.get(effect.requestId)?.connection
          .sendComplete(effect.status, effect.headers, effect.body);
        return this.#onAnswered(effect.requestId);
      case "cut_answer":
        return this.#abort(effect.requestId);
      case "refuse_request":
        this.#exchanges.get(effect.requestId)?.connection
          .refuse(effect.problem);
        return this.#finish(effect.requestId);
      case "count_refusal":
        return this.#options.metrics.countRefusal(effect.reason);
      case "count_retry":
        return this.#options.metrics.countRetry(effect.reason);
      case "count_held_back":
        return this.#options.metrics.countDeferred(effect.priority);
      case "count_stale_message":
        return this.#options.metrics.countStaleMessage();
      case "count_wait":
        return this.#options.metrics.recordWait(
          effect.outcome,
          effect.milliseconds,
        );
      case "count_pause":
        return this.#options.metrics.countPause(effect.milliseconds);
      case "memories_changed":
        return this.#options.onReplicatedStateChanged?.();
      case "ask_permits":
        return this.#options.onPermitsRequested?.(effect.permitRequest);
      case "log_decision":
        return this.#options.log.write(effect.name, effect.details);
      case "drained":
        return this.#onDrained?.();
      default:
        assertNever(effect);
    }
  }

  #send({ targetName, message }: SendToTarget): void {
    const link = this.#links?.tryLink(targetName);
    link?.send(message);
    if (message.kind === "submit") {
      this.#buffers?.setSource(message, link?.answers);
    }
  }

  #startAnswer(effect: StartAnswer): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange === undefined) return;
    const waitedMs = performance.now() - exchange.headReadAt;
    this.#options.metrics.countFirstByte(waitedMs);
    exchange.connection.start(effect.status, effect.headers);
  }

  async #forward(effect: ForwardToScripts): Promise<void> {
    const { id } = effect.request;
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) return;
    await this.#scripts.forward(effect, exchange.connection);
    this.#finish(id);
    this.dispatch({
      kind: "scripts_finished",
      now: performance.now(),
      requestId: id,
    });
  }

  #continueAnswer(requestId: number, bytes: Uint8Array): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined || exchange.connection.write(bytes)) return;
    // Deferred, as an event must not be dispatched while effects are performed.
    setImmediate(() => this.#reportTooSlow(requestId));
  }

  #reportTooSlow(requestId: number): void {
    const now = performance.now();
    this.dispatch({ kind: "caller_too_slow", now, requestId });
  }

  async #abortSlowCaller(
    requestId: number,
    connection: CallerConnection,
  ): Promise<void> {
    this.#reportTooSlow(requestId);
    // The reducer has ended streamed answers by now. This ends complete answers that the
    // caller has not read, and answers of the old scripts.
    await waitForPendingReads();
    connection.abort();
  }

  #onAnswered(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) return;
    const tookMs = performance.now() - exchange.headReadAt;
    this.#options.metrics.countAnswer(tookMs);
    this.#finish(requestId);
  }

  #abort(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    this.#finish(requestId);
    exchange?.connection.abort();
  }

  #finish(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    this.#exchanges.delete(requestId);
    this.#buffers?.finish(requestId);
    exchange?.close();
  }
}
