/**
 * What an entry knows of a request that it cannot send on, for the policy that says how
 * long it waits and when its caller should come back.
 *
 * @module
 */
import type { Obstacle, ReturnFacts } from "../policy/return_time.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Failure } from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Objective of services that name none, in milliseconds. */
const DEFAULT_OBJECTIVE_MS = 1000;

/** Refusals after which the same request may be served later. */
const UNAVAILABILITY_REASONS: Partial<Readonly<Record<RefusalName, Obstacle>>> =
  {
    NO_TARGET: "absence",
    TARGETS_LEAVING: "outage",
    GROUP_CLOSED: "outage",
    GROUP_STALLED: "stall",
    TARGETS_UNREACHABLE: "outage",
    BACK_END_UNREACHABLE: "outage",
    WRONG_INSTANCE: "outage",
    NO_KEY_OWNER: "owner_away",
    DOMAINS_DRAINED: "drain",
    POOL_FULL: "overload",
    GROUP_BUSY: "overload",
    BACK_END_FULL: "overload",
    TARGETS_LIMITED: "limit",
    TARGETS_BACKING_OFF: "backoff",
    TARGET_WITHHELD: "overload",
  };

/** Why a request is not sent on, and for how long as far as that is known. */
export type RefusalCause = Pick<Failure, "reason" | "freeInMs">;

/** The facts of a request; undefined where coming back is not a matter of time. */
export function tryCreateRetryDetails(
  inFlight: InFlightRequest,
  { reason, freeInMs }: RefusalCause,
  now: number,
): ReturnFacts | undefined {
  const obstacle = UNAVAILABILITY_REASONS[reason];
  if (obstacle === undefined) return undefined;
  const { objectiveMs } = inFlight.route.service;
  return {
    obstacle,
    freeInMs,
    isRepeated: inFlight.isRepeated,
    leftMs: Math.max(0, inFlight.deadlineAt - now),
    objectiveMs: objectiveMs ?? DEFAULT_OBJECTIVE_MS,
  };
}
