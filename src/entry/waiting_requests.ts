/**
 * Requests that wait at the entry for a target to get free.
 *
 * @module
 */
import { getLongestWaitMs } from "../policy/return_time.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { tryReturnFacts } from "./return_facts.ts";
import type { NoTargetReason } from "./target_selection.ts";

/** Requests that wait at one entry, at most. */
const MOST_WAITING = 256;
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
    const facts = tryReturnFacts(inFlight, reason, inFlight.arrivedAt);
    if (facts === undefined) return false;
    const until = inFlight.arrivedAt + getLongestWaitMs(facts);
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
