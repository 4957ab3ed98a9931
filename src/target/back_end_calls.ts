/**
 * The calls of a target's back end that are under way, and the events that they cause.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { forwardedHeadersOf } from "../messages/http_headers.ts";
import type { BackEnd, BackEndCall } from "../external/back_end.ts";
import type { Metrics } from "../process/metrics.ts";
import type { StartBackEnd, TargetEvent } from "./types.ts";

/** Options of {@link BackEndCalls}. */
export interface BackEndCallsOptions {
  readonly backEnd: BackEnd;
  readonly metrics: Metrics;
  readonly onEvent: (event: TargetEvent) => void;
}

/** Starts and cancels calls of a back end. */
export class BackEndCalls {
  readonly #options: BackEndCallsOptions;
  readonly #calls = new Map<number, BackEndCall>();

  /** No call is under way yet. */
  constructor(options: BackEndCallsOptions) {
    this.#options = options;
  }

  /** Sends a request to the back end; all that comes back becomes events. */
  start(effect: StartBackEnd): void {
    const { runId, request } = effect;
    const { backEnd, metrics, onEvent } = this.#options;
    const startedAt = performance.now();
    metrics.countRequest();
    const backEndCall = backEnd.start({
      method: request.method,
      path: request.path,
      headers: forwardedHeadersOf(request.headers),
      body: request.body,
      limitMs: request.remainingMs,
    }, {
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
        metrics.countAnswer(performance.now() - startedAt);
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
    });
    this.#calls.set(runId, backEndCall);
  }

  /** Cancels the call of a run, if it is still under way. */
  cancel(runId: number): void {
    this.#calls.get(runId)?.cancel();
  }
}
