/**
 * Requests that wait at the entry for a target to get free.
 *
 * @module
 */
import { USUAL_PRIORITY } from "../messages/priority.ts";
import { FairQueue, type QueuedItem } from "../policy/fair_queue.ts";
import { getLongestWaitMs } from "../policy/return_time.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { tryCreateRetryDetails } from "./return_facts.ts";
import type { NoTargetReason, Unavailability } from "./target_availability.ts";

/** Requests that wait at one entry, at most. */
const MAX_WAITING = 256;
/** Reasons that say that something is gone which the request needs. */
const OUTAGE_REASONS: ReadonlySet<NoTargetReason> = new Set([
  "GROUP_CLOSED",
  "TARGETS_UNREACHABLE",
  "DOMAINS_DRAINED",
  "TARGETS_LEAVING",
  "TARGETS_BACKING_OFF",
]);

interface WaitingRequest extends QueuedItem {
  readonly inFlight: InFlightRequest;
  until: number;
  reason: NoTargetReason;
}

/** A request whose wait is over without a target. */
export interface ExpiredWait {
  readonly inFlight: InFlightRequest;
  readonly reason: NoTargetReason;
}

/**
 * Requests that wait for a target to get free: in pools whose services differ in priority
 * in the order of targets' queues, elsewhere oldest first.
 */
export class WaitingRequests {
  readonly #byId = new Map<number, WaitingRequest>();
  /** Of pools with one priority; all in one line, so oldest first. */
  readonly #firstInFirstOut = new FairQueue<WaitingRequest>(MAX_WAITING);
  /** Of pools whose services differ in priority. */
  readonly #prioritized = new FairQueue<WaitingRequest>(MAX_WAITING);
  /** Those that gave up their place to more urgent ones. */
  #dropped: WaitingRequest[] = [];

  /** Requests that wait. */
  get size(): number {
    return this.#byId.size;
  }

  /** Whether waiting can help a request, if there is a place. */
  mayWait(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): boolean {
    return getWaitEndAt(inFlight, unavailability, now) > now;
  }

  /** Lets a request wait; false when it is to be refused at once. */
  tryAdd(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): boolean {
    if (!this.mayWait(inFlight, unavailability, now)) return false;
    const { reason } = unavailability;
    const until = getWaitEndAt(inFlight, unavailability, now);
    const waiting = createWaiting(inFlight, { until, reason, now });
    if (this.#byId.size >= MAX_WAITING && !this.#tryReplace(waiting)) {
      return false;
    }
    this.#add(waiting);
    return true;
  }

  /** Requests that wait for a reason. */
  countOf(reason: NoTargetReason): number {
    return [...this.#byId.values()]
      .filter((waiting) => waiting.reason === reason).length;
  }

  /** The request waits no more. */
  remove(requestId: number): void {
    this.#dropped = this.#dropped.filter(({ inFlight }) =>
      inFlight.request.id !== requestId
    );
    const waiting = this.#byId.get(requestId);
    if (waiting === undefined) return;
    this.#byId.delete(requestId);
    this.#queueOf(waiting).removeWhere((other) => other === waiting);
  }

  /** The request goes to a target; it was its organisation's turn. */
  take(requestId: number): void {
    const waiting = this.#byId.get(requestId);
    if (waiting === undefined) return;
    this.#byId.delete(requestId);
    this.#queueOf(waiting).take(waiting);
  }

  /** Those that wait, in the order in which they are due. */
  all(now: number): readonly InFlightRequest[] {
    this.#demoteLate(now);
    return [...this.#firstInFirstOut.inOrder(), ...this.#prioritized.inOrder()]
      .map(({ inFlight }) => inFlight);
  }

  /**
   * There still was no target. Once something is known to be gone, the request waits no
   * longer than one that comes now.
   */
  updateReason(
    requestId: number,
    unavailability: Unavailability,
    now: number,
  ): void {
    const waiting = this.#byId.get(requestId);
    if (waiting === undefined) return;
    const { reason } = unavailability;
    waiting.reason = reason;
    if (!OUTAGE_REASONS.has(reason)) return;
    const until = getWaitEndAt(waiting.inFlight, unavailability, now);
    waiting.until = Math.min(waiting.until, until);
  }

  /** Takes out those whose wait is over. */
  takeExpired(now: number): readonly ExpiredWait[] {
    const expired = [...this.#byId.values()]
      .filter(({ until }) => until <= now);
    for (const { inFlight } of expired) this.remove(inFlight.request.id);
    const dropped = this.#dropped;
    this.#dropped = [];
    return [...dropped, ...expired];
  }

  #add(waiting: WaitingRequest): void {
    this.#byId.set(waiting.inFlight.request.id, waiting);
    this.#queueOf(waiting).add(waiting);
  }

  /** Makes room for one that is more urgent than some that waits. */
  #tryReplace(waiting: WaitingRequest): boolean {
    if (waiting.inFlight.poolPriorities === undefined) return false;
    const last = this.#prioritized.inOrder().at(-1);
    if (last === undefined || last.priority <= waiting.priority) return false;
    const dropped = this.#prioritized.tryDrop();
    if (dropped === undefined) return false;
    this.#byId.delete(dropped.inFlight.request.id);
    this.#dropped.push(dropped);
    return true;
  }

  /** Those that have become late go after those of their kind that can be on time. */
  #demoteLate(now: number): void {
    const late = this.#prioritized.removeWhere(({ inFlight, priority }) =>
      inFlight.priorityAt(now) !== priority
    );
    for (const { inFlight, until, reason } of late) {
      this.#add(createWaiting(inFlight, { until, reason, now }));
    }
  }

  #queueOf({ inFlight }: WaitingRequest): FairQueue<WaitingRequest> {
    return inFlight.poolPriorities === undefined
      ? this.#firstInFirstOut
      : this.#prioritized;
  }
}

function createWaiting(
  inFlight: InFlightRequest,
  facts: {
    readonly until: number;
    readonly reason: NoTargetReason;
    readonly now: number;
  },
): WaitingRequest {
  const { until, reason, now } = facts;
  const { poolPriorities, route } = inFlight;
  return {
    inFlight,
    until,
    reason,
    startBy: inFlight.deadlineAt,
    ...poolPriorities === undefined
      ? { priority: USUAL_PRIORITY, organisation: "", weight: 1 }
      : {
        priority: inFlight.priorityAt(now),
        organisation: route.organisation,
        weight: route.limits.weight,
      },
  };
}

/**
 * When a request has waited as long as it may, in milliseconds. One that is known to find no
 * target until then does not wait.
 */
function getWaitEndAt(
  inFlight: InFlightRequest,
  { reason, freeInMs = 0 }: Unavailability,
  now: number,
): number {
  // A permit is asked for now, however long the request has been here.
  const startAt = reason === "TARGETS_LIMITED" ? now : inFlight.arrivedAt;
  const facts = tryCreateRetryDetails(inFlight, { reason }, startAt);
  if (facts === undefined) return Number.NEGATIVE_INFINITY;
  const end = startAt + getLongestWaitMs(facts);
  return now + freeInMs < end ? end : Number.NEGATIVE_INFINITY;
}
