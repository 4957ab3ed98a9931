/**
 * Describes why requests are refused that no target can serve, and when their callers
 * should retry.
 *
 * @module
 */
import type { AnswerTimes } from "../policy/answer_times.ts";
import { EvenSpread } from "../policy/even_spread.ts";
import { getRetryDelayMs } from "../policy/waiting_rule.ts";
import type { DrainWatch } from "./drain_watch.ts";
import {
  createOverallFailure,
  createUnsentFailure,
  type Failure,
} from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { Unavailability } from "./target_availability.ts";
import type { TargetSelection } from "./target_selection.ts";
import { tryCreateUnservedRequest } from "./unserved_request.ts";

/** Options of {@link UnservedRefusals}. */
export interface UnservedRefusalsOptions {
  readonly selection: TargetSelection;
  readonly drains: DrainWatch;
  /** How long answers usually take. */
  readonly answerTimes: AnswerTimes;
}

/** Describes the refusals of requests that no target can serve. */
export class UnservedRefusals {
  readonly #options: UnservedRefusalsOptions;
  /** Spreads the retries of refused callers. */
  readonly #retrySpread = new EvenSpread();

  /** Creates the descriptions for the requests of one entry. */
  constructor(options: UnservedRefusalsOptions) {
    this.#options = options;
  }

  /** Describes the failure of a request that was not sent to a target. */
  createFailure(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): Failure {
    const { reason } = unavailability;
    const { gate, availability } = this.#options.selection;
    const drains = reason === "DOMAINS_DRAINED"
      ? this.#options.drains.getDetails(now)
      : undefined;
    const freeInMs = reason === "TARGETS_BACKING_OFF"
      ? availability.trySampleRetryDelayMs(unavailability)
      : undefined;
    const deferral = gate.tryDeferralDetails(inFlight, reason, now);
    const failure = createUnsentFailure(reason, inFlight.isKeyed);
    return { ...failure, freeInMs, ...deferral, drains };
  }

  /** Returns the caller's retry delay; undefined: the refusal catalogue defines it. */
  tryGetDelayMs(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): number | undefined {
    const { reason, freeInMs } = createOverallFailure(inFlight, failure);
    const unserved = tryCreateUnservedRequest(
      inFlight,
      { reason, freeInMs },
      this.#options.answerTimes.get(inFlight.route.servicePath),
    );
    if (unserved === undefined) return undefined;
    const spreadFraction = this.#retrySpread.next();
    return getRetryDelayMs(unserved, { now, spreadFraction });
  }
}
