/**
 * What is known of a request that got no answer.
 *
 * @module
 */
import type { GroupUtilization } from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { DrainFacts } from "./drain_watch.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** What is known of a request that got no answer. */
export interface Failure {
  readonly reason: RefusalName;
  /** What is known of the key; without a key, of the submission. */
  readonly outcome: Outcome;
  readonly submission: Outcome;
  /** Milliseconds after which a target may take it, where that is known. */
  readonly freeInMs?: number;
  /** The drains that it is due to. */
  readonly drains?: DrainFacts;
  /** Load of the rank group from which it was held back. */
  readonly utilization?: GroupUtilization;
}

/** Lowest status of an answer that says that the back end failed. */
export const SERVER_ERROR_STATUS = 500;

/** The back end answered with an error, so it may have run the request. */
export const SERVER_ERROR = createUnknown("BACK_END_ERROR");

/** The target holds back its group, and may run the request meanwhile. */
export const TARGET_SLOW = createUnknown("TARGET_SLOW");

const TARGETS_FAULTS: ReadonlySet<RefusalName> = new Set([
  "BACK_END_FAILED",
  "BACK_END_UNREACHABLE",
  "QUEUE_FULL",
  "TARGET_LEAVING",
  "BACK_END_FULL",
]);

/** A failure after which the request may have run. */
export function createUnknown(reason: RefusalName): Failure {
  return { reason, outcome: "unknown", submission: "unknown" };
}

/** A request that was never sent to a target. */
export function createUnsent(reason: RefusalName, isKeyed: boolean): Failure {
  return {
    reason,
    outcome: isKeyed ? "unknown" : "not-run",
    submission: "not-run",
  };
}

/** Whether a refusal says something about the target, not about the request. */
export function isTargetsFault(reason: RefusalName): boolean {
  return TARGETS_FAULTS.has(reason);
}

/**
 * The failure of a request over all its attempts. That the last one was not run
 * says nothing of the ones before it, and its status may promise that nothing
 * ran.
 */
export function overAllAttempts(
  inFlight: InFlightRequest,
  failure: Failure,
): Failure {
  const isSettled = !inFlight.mayHaveRun || failure.submission === "unknown";
  return isSettled ? failure : createUnknown("ATTEMPTS_INCONCLUSIVE");
}
