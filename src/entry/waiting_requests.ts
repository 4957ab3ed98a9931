/**
 * Requests that wait at the entry for a target to get free.
 *
 * @module
 */
import type { InFlightRequest } from "./in_flight_request.ts";
import type { NoTargetReason } from "./target_selection.ts";

/**
 * Part of the objective for which a request that comes first waits before it is
 * refused: a caller that is told so early enough can still be served in time.
 */
const FIRST_WAIT_PART = 0.2;
/**
 * Milliseconds for which one waits that was refused before. Its caller asks no
 * third time, and callers leave after two seconds without a sign.
 */
const REPEATED_WAIT_MS = 1700;
/** Objective of services that name none, in milliseconds. */
const USUAL_OBJECTIVE_MS = 1000;
/** Requests that wait at one entry, at most. */
const MOST_WAITING = 256;
/**
 * Part of the service's time below which the caller's deadline shows that it has
 * spent the rest on an attempt before.
 */
const FRESH_PART = 0.97;

interface Waiting {
  readonly inFlight: InFlightRequest;
  readonly until: number;
  reason: NoTargetReason;
}

/** A request whose wait is over without a target. */
export interface ExpiredWait {
  readonly inFlight: InFlightRequest;
  readonly reason: NoTargetReason;
}

/** Requests that wait for a target to get free, oldest first. */
export class WaitingRequests {
  readonly #waiting = new Map<number, Waiting>();

  /** Requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Lets a request wait; false when it is to be refused at once. */
  tryAdd(
    inFlight: InFlightRequest,
    reason: NoTargetReason,
    now: number,
  ): boolean {
    const until = Math.min(
      inFlight.deadlineAt,
      inFlight.arrivedAt + waitLimitOf(inFlight, reason),
    );
    if (until <= now || this.#waiting.size >= MOST_WAITING) return false;
    this.#waiting.set(inFlight.request.id, { inFlight, until, reason });
    return true;
  }

  /** The request waits no more. */
  remove(requestId: number): void {
    this.#waiting.delete(requestId);
  }

  /** Those that wait, oldest first. */
  all(): readonly InFlightRequest[] {
    return [...this.#waiting.values()].map(({ inFlight }) => inFlight);
  }

  /** There still was no target. */
  noteReason(requestId: number, reason: NoTargetReason): void {
    const waiting = this.#waiting.get(requestId);
    if (waiting !== undefined) waiting.reason = reason;
  }

  /** Takes out those whose wait is over. */
  takeExpired(now: number): readonly ExpiredWait[] {
    const expired = [...this.#waiting.values()]
      .filter(({ until }) => until <= now);
    for (const { inFlight } of expired) this.remove(inFlight.request.id);
    return expired;
  }
}

function waitLimitOf(
  inFlight: InFlightRequest,
  reason: NoTargetReason,
): number {
  if (reason === "NO_KEY_OWNER") return 0;
  const { request, route } = inFlight;
  const { longestDeadlineMs, objectiveMs } = route.service;
  const isRepeated = (request.deadlineMs ?? longestDeadlineMs) <
    FRESH_PART * longestDeadlineMs;
  if (isRepeated) return REPEATED_WAIT_MS;
  // A lost group is not back in time for an answer that is worth its full value,
  // and what waits for it takes the places of requests that come after.
  if (reason === "GROUP_CLOSED") return 0;
  return FIRST_WAIT_PART * (objectiveMs ?? USUAL_OBJECTIVE_MS);
}
