/**
 * The message by which an attempt goes to a target.
 *
 * @module
 */
import type { SubmitMessage } from "../messages/types.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** The message of the attempt under way. */
export function createSubmit(
  inFlight: InFlightRequest,
  now: number,
): SubmitMessage {
  const { request, route, attempt, deadlineAt } = inFlight;
  return {
    kind: "submit",
    requestId: request.id,
    attempt,
    organisation: route.organisation,
    service: route.servicePath,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    priority: request.priority ?? route.service.priority,
    weight: route.limits.weight,
    remainingMs: deadlineAt - now,
    idempotencyKey: request.idempotencyKey,
    keyRetentionMs: route.service.keyRetentionMs,
  };
}
