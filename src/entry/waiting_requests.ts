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
/** Reasons that say that something is gone which the request needs. */
const KNOWN_LOSSES: ReadonlySet<NoTargetReason> = new Set([
  "GROUP_CLOSED",
  "TARGETS_UNREACHABLE",
  "DOMAINS_DRAINED",
]);

interface Waiting {
  readonly inFlight: InFlightRequest;
  until: number;
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
    const until = getWaitEnd(inFlight, reason);
    if (until <= now || this.#waiting.size >= MOST_WAITING) return false;
    this.#waiting.set(inFlight.request.id, { inFlight, until, reason });
    return true;
  }

  /** Requests that wait for a reason. */
  countOf(reason: NoTargetReason): number {
    return [...this.#waiting.values()]
      .filter((waiting) => waiting.reason === reason).length;
  }

  /** The request waits no more. */
  remove(requestId: number): void {
    this.#waiting.delete(requestId);
  }

  /** Those that wait, oldest first. */
  all(): readonly InFlightRequest[] {
    return [...this.#waiting.values()].map(({ inFlight }) => inFlight);
  }

  /**
   * There still was no target. Once something is known to be gone, the request waits no
   * longer than one that comes now.
   */
  noteReason(requestId: number, reason: NoTargetReason): void {
    const waiting = this.#waiting.get(requestId);
    if (waiting === undefined) return;
    waiting.reason = reason;
    if (!KNOWN_LOSSES.has(reason)) return;
    const until = getWaitEnd(waiting.inFlight, reason);
    waiting.until = Math.min(waiting.until, until);
  }

  /** Takes out those whose wait is over. */
  takeExpired(now: number): readonly ExpiredWait[] {
    const expired = [...this.#waiting.values()]
      .filter(({ until }) => until <= now);
    for (const { inFlight } of expired) this.remove(inFlight.request.id);
    return expired;
  }
}

/** When a request has waited as long as it may, in milliseconds. */
function getWaitEnd(inFlight: InFlightRequest, reason: NoTargetReason): number {
  const facts = tryReturnFacts(inFlight, { reason }, inFlight.arrivedAt);
  return facts === undefined
    ? Number.NEGATIVE_INFINITY
    : inFlight.arrivedAt + getLongestWaitMs(facts);
}
