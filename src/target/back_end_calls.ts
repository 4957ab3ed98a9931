/**
 * Performs a target's calls to its back end and reports their progress as events.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { getForwardedHeaders } from "../messages/http_headers.ts";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type {
  BackEnd,
  BackEndCall,
  BackEndListener,
  BackEndRequest,
} from "../external/back_end.ts";
import type { Metrics } from "../process/metrics.ts";
import type { StartBackEnd, TargetEvent } from "./types.ts";

/** Options of {@link BackEndCalls}. */
export interface BackEndCallsOptions {
  readonly backEnd: BackEnd;
  readonly metrics: Metrics;
  readonly log: EventLog;
  /** Called for each event; an exception is logged as an error of this program. */
  readonly onEvent: (event: TargetEvent) => void;
}

/** Starts and cancels calls to a back end. */
export class BackEndCalls {
  readonly #options: BackEndCallsOptions;
  readonly #calls = new Map<number, BackEndCall>();

  /** Creates an instance without calls in progress. */
  constructor(options: BackEndCallsOptions) {
    this.#options = options;
  }

  /** Sends a request to the back end and reports its answer as events. */
  start(effect: StartBackEnd): void {
    const { runId, request } = effect;
    const { backEnd, log, metrics } = this.#options;
    // The client library would fail the call, as if the back end had broken it off.
    const onEvent = (event: TargetEvent) =>
      tryHandle(log, "an answer of the back end", () => {
        this.#options.onEvent(event);
      });
    metrics.countRequest();
    const hasStarted = tryHandle(log, "a call to the back end", () => {
      const call = backEnd.start(
        createBackEndRequest(request),
        this.#createListener(runId, onEvent),
      );
      this.#calls.set(runId, call);
    });
    if (hasStarted) return;
    // Deferred, as an event must not be dispatched while effects are performed.
    queueMicrotask(() =>
      onEvent({
        kind: "back_end_failed",
        now: performance.now(),
        runId,
        failure: "broken",
      })
    );
  }

  #createListener(
    runId: number,
    onEvent: (event: TargetEvent) => void,
  ): BackEndListener {
    const startedAt = performance.now();
    return {
      onHead: (status, headers) =>
        onEvent({
          kind: "back_end_head",
          now: performance.now(),
          runId,
          status,
          headers,
        }),
      onData: (bytes) =>
        onEvent({
          kind: "back_end_data",
          now: performance.now(),
          runId,
          bytes,
        }),
      onEnd: () => {
        this.#calls.delete(runId);
        this.#options.metrics.countAnswer(performance.now() - startedAt);
        onEvent({ kind: "back_end_end", now: performance.now(), runId });
      },
      onFailed: (failure) => {
        this.#calls.delete(runId);
        onEvent({
          kind: "back_end_failed",
          now: performance.now(),
          runId,
          failure,
        });
      },
    };
  }

  /** Cancels the call of a run if it is still in progress. */
  cancel(runId: number): void {
    this.#calls.get(runId)?.cancel();
  }
}

function createBackEndRequest(
  request: StartBackEnd["request"],
): BackEndRequest {
  return {
    method: request.method,
    path: request.path,
    headers: getForwardedHeaders(request.headers),
    body: request.body,
    limitMs: request.remainingMs,
  };
}
