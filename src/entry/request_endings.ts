/**
 * Ends requests whose answer is not complete at their deadline, or when the process ends.
 *
 * @module
 */
import { createUnknownFailure, createUnsentFailure } from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { RequestDispatcher } from "./request_dispatcher.ts";
import type { TargetRegistry } from "./target_registry.ts";

/** Options of {@link RequestEndings}. */
export interface RequestEndingsOptions {
  readonly dispatcher: RequestDispatcher;
  readonly registry: TargetRegistry;
}

/** Ends requests whose answer is not complete in time. */
export class RequestEndings {
  readonly #options: RequestEndingsOptions;

  /** Creates the endings of the requests of one dispatcher. */
  constructor(options: RequestEndingsOptions) {
    this.#options = options;
  }

  /** Ends the requests whose deadline has passed. */
  failExpired(now: number): void {
    const { dispatcher } = this.#options;
    for (const inFlight of dispatcher.inFlight) {
      if (inFlight.deadlineAt > now) continue;
      this.#countMissingFirstByte(inFlight, now);
      dispatcher.recordLostAttempt(inFlight, { now, isBroken: false });
      dispatcher.cancel(inFlight);
      dispatcher.fail(inFlight, createUnknownFailure("DEADLINE"), now);
    }
  }

  /** Ends all requests, as the process ends: callers get an answer rather than none. */
  failAll(now: number): void {
    const { dispatcher } = this.#options;
    for (const inFlight of dispatcher.inFlight) {
      const isAtTarget = inFlight.targetName !== undefined;
      dispatcher.cancel(inFlight);
      const failure = isAtTarget
        ? createUnknownFailure("ENTRY_ENDED")
        : createUnsentFailure("ENTRY_DRAINING", inFlight.isKeyed);
      dispatcher.fail(inFlight, failure, now);
    }
  }

  /** Counts a failure of a target without a first byte in time, as it may be frozen. */
  #countMissingFirstByte(inFlight: InFlightRequest, now: number): void {
    if (inFlight.head !== undefined) return;
    const target = this.#options.registry.tryGet(inFlight.targetName ?? "");
    target?.recordAttempt(true, now);
  }
}
