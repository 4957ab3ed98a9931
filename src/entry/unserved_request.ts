/**
 * Describes a request that no target can accept to the policy that decides how long it
 * waits and which retry delay its caller gets.
 *
 * @module
 */
import type { AnswerTime } from "../policy/answer_times.ts";
import type {
  CallerPatience,
  UnavailabilityReason,
  UnservedRequest,
} from "../policy/waiting_rule.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Failure } from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Unavailability reasons of the refusals after which a later retry may be served. */
const UNAVAILABILITY_REASONS: Partial<
  Readonly<Record<RefusalName, UnavailabilityReason>>
> = {
  NO_TARGET: "absence",
  TARGETS_LEAVING: "outage",
  GROUP_CLOSED: "outage",
  GROUP_STALLED: "stall",
  TARGETS_UNREACHABLE: "unreachable",
  BACK_END_UNREACHABLE: "unreachable",
  WRONG_INSTANCE: "outage",
  NO_KEY_OWNER: "owner_away",
  DOMAINS_DRAINED: "drain",
  POOL_FULL: "overload",
  GROUP_BUSY: "overload",
  BACK_END_FULL: "overload",
  CRASHES_TARGETS: "refusal",
  PROMPT_PART_CRASHES_TARGETS: "refusal",
  TARGETS_LIMITED: "limit",
  TARGETS_BACKING_OFF: "backoff",
  TARGET_WITHHELD: "overload",
};

/** Why a request cannot be sent to a target, and for how long, if known. */
export type RefusalCause = Pick<Failure, "reason" | "freeInMs">;

/** Returns when the caller of a request leaves. */
export function getCallerPatience(
  { arrivedAt, deadlineAt, route }: InFlightRequest,
): CallerPatience {
  const { silenceLimitMs } = route.service;
  return { arrivedAt, deadlineAt, silenceLimitMs };
}

/** Describes a request for the policy; undefined if waiting or a retry cannot help. */
export function tryCreateUnservedRequest(
  inFlight: InFlightRequest,
  { reason, freeInMs }: RefusalCause,
  answerTime: AnswerTime,
): UnservedRequest | undefined {
  const cause = UNAVAILABILITY_REASONS[reason];
  if (cause === undefined) return undefined;
  const patience = getCallerPatience(inFlight);
  return { cause, freeInMs, patience, answerTime };
}
