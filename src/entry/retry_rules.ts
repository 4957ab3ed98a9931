/**
 * Decides when a request may be sent to a target again.
 *
 * @module
 */
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Reasons for a refusal that may not apply to another target. */
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

/** How the previous attempt ended. */
export interface EndedAttempt {
  readonly reason: RefusalName;
  readonly submission: Outcome;
}

/**
 * Whether another attempt is safe and may succeed. A request with an idempotency key is
 * never sent to another target, as only the owner of the key may run it.
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
