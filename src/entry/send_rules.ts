/**
 * Finds the requests that must not be sent to any target.
 *
 * @module
 */
import type { AnswerTimes } from "../policy/answer_times.ts";
import type { ShutdownWindow } from "../policy/shutdown_window.ts";
import type { CrashWatch } from "./crash_watch.ts";
import { createUnsentFailure, type Failure } from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Options of {@link SendRules}. */
export interface SendRulesOptions {
  readonly crashes: CrashWatch;
  readonly shutdown: ShutdownWindow;
  /** How long answers usually take. */
  readonly answerTimes: AnswerTimes;
}

/** Rules on whether requests may be sent, whichever targets are available. */
export class SendRules {
  readonly #options: SendRulesOptions;

  /** Creates the rules of one entry. */
  constructor(options: SendRulesOptions) {
    this.#options = options;
  }

  /** Returns why a request must be refused; undefined if it may be sent. */
  tryFindFailure(inFlight: InFlightRequest, now: number): Failure | undefined {
    return this.#tryFindCrashes(inFlight, now) ??
      this.#tryFindShutdown(inFlight, now);
  }

  /**
   * Whether a request that is sent now ends before this process does. A stream that has
   * begun is continued in any case: what is left of it is more than nothing.
   */
  endsInTime(inFlight: InFlightRequest, now: number): boolean {
    const { answerTimes, shutdown } = this.#options;
    if (!shutdown.isPlanned || inFlight.isStreaming) return true;
    const answerTime = answerTimes.get(inFlight.route.servicePath);
    const { deadlineAt, isIdempotent, route } = inFlight;
    const isRepeatable = isIdempotent || route.service.resumable;
    return shutdown.mayPassOn({ deadlineAt, answerTime, isRepeatable }, now);
  }

  /**
   * Refuses a request if targets have crashed under it or a part of its prompt. It would
   * crash the next target too, and all other requests there or in its group would lose
   * their answers.
   */
  #tryFindCrashes(
    inFlight: InFlightRequest,
    now: number,
  ): Failure | undefined {
    const refusal = this.#options.crashes.tryFindRefusal(inFlight, now);
    if (refusal === undefined) return undefined;
    const failure = createUnsentFailure(refusal.reason, inFlight.isKeyed);
    return { ...failure, ...refusal };
  }

  #tryFindShutdown(
    inFlight: InFlightRequest,
    now: number,
  ): Failure | undefined {
    if (this.endsInTime(inFlight, now)) return undefined;
    return createUnsentFailure("ENTRY_DRAINING", inFlight.isKeyed);
  }
}
