/**
 * Creates the effects that end a request or one of its attempts.
 *
 * @module
 */
import { Debug } from "../core/debug.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { createProblem } from "../refusals/problem.ts";
import {
  createFailedRecord,
  createNotAdmittedRecord,
} from "./decision_records.ts";
import {
  createOverallFailure,
  createUnsentFailure,
  type Failure,
} from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { Route } from "./routing_table.ts";
import type {
  CallerRequest,
  EntryEffect,
  SendToTarget,
  WaitOutcome,
} from "./types.ts";

/** Refuses a request that was not admitted. */
export function createArrivalRefusal(
  request: CallerRequest,
  reason: RefusalName,
): readonly EntryEffect[] {
  const isKeyed = request.idempotencyKey !== undefined;
  return [
    createNotAdmittedRecord(request, reason),
    ...createRefusal(request.id, createUnsentFailure(reason, isKeyed)),
  ];
}

/** How a request is ended that gets no answer. */
export interface FailureContext {
  readonly now: number;
  /** The caller's retry delay; undefined: the refusal catalogue defines it. */
  readonly retryDelayMs: number | undefined;
}

/** Ends a request that gets no answer: refuses it, or aborts an answer that has begun. */
export function createFailureEffects(
  inFlight: InFlightRequest,
  failure: Failure,
  { now, retryDelayMs }: FailureContext,
): readonly EntryEffect[] {
  const requestId = inFlight.request.id;
  if (!inFlight.isStreaming) {
    const overallFailure = createOverallFailure(inFlight, failure);
    const logRecord = createFailedRecord(inFlight, {
      ...failure,
      now,
      retryDelayMs,
    });
    return [
      logRecord,
      createWaitCount(inFlight, "refused", now),
      ...createRefusal(requestId, overallFailure, retryDelayMs),
    ];
  }
  return [
    createFailedRecord(inFlight, { ...failure, now }),
    { kind: "count_refusal", reason: failure.reason },
    { kind: "cut_answer", requestId },
  ];
}

/** Counts the longest pause of a complete answer. */
export function createAnswerCounts(
  { longestPause }: InFlightRequest,
): readonly EntryEffect[] {
  if (longestPause === undefined) return [];
  return [{ kind: "count_pause", milliseconds: longestPause.milliseconds }];
}

/** Counts how long a request was at this entry until it was sent or refused. */
export function createWaitCount(
  { arrivedAt }: InFlightRequest,
  outcome: WaitOutcome,
  now: number,
): EntryEffect {
  return { kind: "count_wait", outcome, milliseconds: now - arrivedAt };
}

/** Cancels an attempt at a target. */
export function createCancelEffect(
  inFlight: InFlightRequest,
  targetName: string,
  attempt: number,
): SendToTarget {
  const requestId = inFlight.request.id;
  const message = { kind: "cancel", requestId, attempt } as const;
  return { kind: "send", targetName, message };
}

/** Passes a request to the old scripts. */
export function createForwardEffect(
  request: CallerRequest,
  route: Route,
  deadlineMs: number,
): EntryEffect {
  const address = Debug.getDefined(
    route.service.scriptsAddress,
    "A service that the scripts handle has their address",
  );
  return { kind: "forward_to_scripts", address, deadlineMs, request };
}

function createRefusal(
  requestId: number,
  failure: Failure,
  retryDelayMs?: number,
): readonly EntryEffect[] {
  const problem = createProblem(failure.reason, {
    ...failure,
    retryAfterSeconds: retryDelayMs && toSeconds(retryDelayMs),
  });
  return [
    { kind: "count_refusal", reason: failure.reason },
    { kind: "refuse_request", requestId, problem },
  ];
}

/** Converts milliseconds to seconds, rounded down to hundredths. */
function toSeconds(milliseconds: number): number {
  return Math.floor(milliseconds / 10) / 100;
}
