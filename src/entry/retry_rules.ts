/**
 * Says when a request may be sent a second time.
 *
 * @module
 */
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Refusals that another target may not give. */
const RETRYABLE_REASONS: ReadonlySet<RefusalName> = new Set([
  "QUEUE_FULL",
  "TARGET_LEAVING",
  "TARGET_LOST",
  "BACK_END_UNREACHABLE",
  "BACK_END_FAILED",
  "ANSWER_BROKEN",
  "WRONG_INSTANCE",
  "BACK_END_FULL",
  "TARGET_WITHHELD",
  "GROUP_CLOSED",
  "BACK_END_ERROR",
  "TARGET_SLOW",
]);

/** How the attempt before ended. */
export interface EndedAttempt {
  readonly reason: RefusalName;
  readonly submission: Outcome;
}

/**
 * Whether a second attempt does no harm and may help. A keyed request is never
 * sent on: only its owner may run it.
 *
 * @example
 * ```ts
 * if (mayRetry(inFlight, refused)) submitAgain(inFlight);
 * ```
 */
export function mayRetry(
  inFlight: InFlightRequest,
  ended: EndedAttempt,
): boolean {
  if (inFlight.request.idempotencyKey !== undefined) return false;
  if (!inFlight.hasAttemptsLeft) return false;
  if (inFlight.isStreaming && !inFlight.isResumable) return false;
  if (!RETRYABLE_REASONS.has(ended.reason)) return false;
  return ended.submission === "not-run" || inFlight.isIdempotent;
}
