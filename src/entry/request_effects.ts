/**
 * Effects that end a request or one of its attempts.
 *
 * @module
 */
import { Debug } from "../core/debug.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { createProblem } from "../refusals/problem.ts";
import { createDoorNote, createFailedNote } from "./decision_notes.ts";
import { createUnsent, type Failure, overAllAttempts } from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { Route } from "./routing_table.ts";
import type { CallerRequest, EntryEffect, SendToTarget } from "./types.ts";

/** Refuses a request that was not let in. */
export function createDoorRefusal(
  request: CallerRequest,
  reason: RefusalName,
): readonly EntryEffect[] {
  const isKeyed = request.idempotencyKey !== undefined;
  return [
    createDoorNote(request, reason),
    ...createRefusal(request.id, createUnsent(reason, isKeyed)),
  ];
}

/** Ends a request that gets no answer: with a refusal, or by cutting it off. */
export function createFailureEffects(
  inFlight: InFlightRequest,
  failure: Failure,
  now: number,
): readonly EntryEffect[] {
  const note = createFailedNote(inFlight, { ...failure, now });
  const requestId = inFlight.request.id;
  if (!inFlight.isStreaming) {
    const known = overAllAttempts(inFlight, failure);
    return [note, ...createRefusal(requestId, known)];
  }
  return [
    note,
    { kind: "count_refusal", reason: failure.reason },
    { kind: "cut_answer", requestId },
  ];
}

/** Cancels an attempt at a target. */
export function createCancel(
  inFlight: InFlightRequest,
  targetName: string,
  attempt: number,
): SendToTarget {
  const requestId = inFlight.request.id;
  const message = { kind: "cancel", requestId, attempt } as const;
  return { kind: "send", targetName, message };
}

/** Passes a request to the old scripts. */
export function createForward(
  request: CallerRequest,
  route: Route,
  deadlineMs: number,
): EntryEffect {
  const address = Debug.getDefined(
    route.service.scriptsAddress,
    "A service on the scripts has their address",
  );
  return { kind: "forward_to_scripts", address, deadlineMs, request };
}

function createRefusal(
  requestId: number,
  failure: Failure,
): readonly EntryEffect[] {
  const problem = createProblem(failure.reason, failure);
  return [
    { kind: "count_refusal", reason: failure.reason },
    { kind: "refuse_request", requestId, problem },
  ];
}
