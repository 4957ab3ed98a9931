/**
 * Creates the message that submits an attempt to a target.
 *
 * @module
 */
import type { Header, SubmitMessage } from "../messages/types.ts";
import {
  type InFlightRequest,
  LAST_EVENT_ID_HEADER,
} from "./in_flight_request.ts";

/** Creates the message that submits the current attempt. */
export function createSubmitMessage(
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
    headers: headersOf(inFlight),
    body: request.body,
    priority: inFlight.priority,
    weight: route.limits.weight,
    remainingMs: deadlineAt - now,
    idempotencyKey: request.idempotencyKey,
    keyRetentionMs: route.service.keyRetentionMs,
  };
}

/** Returns the headers; a broken stream continues after its last complete event. */
function headersOf(inFlight: InFlightRequest): readonly Header[] {
  const { cursor, request } = inFlight;
  if (cursor?.lastEventId === undefined) return request.headers;
  return [
    ...request.headers.filter(([name]) => name !== LAST_EVENT_ID_HEADER),
    [LAST_EVENT_ID_HEADER, cursor.lastEventId],
  ];
}
