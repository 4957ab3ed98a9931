/**
 * Describes why a request got no answer, and whether it may have run.
 *
 * @module
 */
import type { GroupUtilization } from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { DrainDetails } from "./drain_watch.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Why a request got no answer, and whether it may have run. */
export interface Failure {
  readonly reason: RefusalName;
  /** Whether the work of the idempotency key ran; without a key, as `submission`. */
  readonly outcome: Outcome;
  /** Whether this submission ran. */
  readonly submission: Outcome;
  /** Milliseconds until a target may accept the request, if known. */
  readonly freeInMs?: number;
  /** The part of the prompt for which the request was refused. */
  readonly partId?: string;
  /** The drains that caused the failure. */
  readonly drains?: DrainDetails;
  /** Load of the rank group for which the request was deferred. */
  readonly utilization?: GroupUtilization;
}

/** Lowest HTTP status by which a back end reports a failure of its own. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** The back end answered with a server error, so it may have run the request. */
export const SERVER_ERROR_FAILURE = createUnknownFailure("BACK_END_ERROR");

/** The target slows down its group, and may still run the request. */
export const SLOW_TARGET_FAILURE = createUnknownFailure("TARGET_SLOW");

const TARGET_FAULT_REASONS: ReadonlySet<RefusalName> = new Set([
  "BACK_END_FAILED",
  "BACK_END_UNREACHABLE",
  "QUEUE_FULL",
  "TARGET_LEAVING",
  "BACK_END_FULL",
]);

/** Creates a failure after which the request may have run. */
export function createUnknownFailure(reason: RefusalName): Failure {
  return { reason, outcome: "unknown", submission: "unknown" };
}

/** Creates the failure of a request that was never sent to a target. */
export function createUnsentFailure(
  reason: RefusalName,
  isKeyed: boolean,
): Failure {
  return {
    reason,
    outcome: isKeyed ? "unknown" : "not-run",
    submission: "not-run",
  };
}

/** Whether a refusal is due to the state of the target, not to the request. */
export function isTargetFault(reason: RefusalName): boolean {
  return TARGET_FAULT_REASONS.has(reason);
}

/**
 * Returns the failure of a request over all its attempts. If an earlier attempt may have
 * run, a last attempt that did not run must not be reported as it is: the status of its
 * refusal can state that nothing ran.
 */
export function createOverallFailure(
  inFlight: InFlightRequest,
  failure: Failure,
): Failure {
  const isSettled = !inFlight.mayHaveRun || failure.submission === "unknown";
  return isSettled ? failure : createUnknownFailure("ATTEMPTS_INCONCLUSIVE");
}
