/**
 * Queues the requests that wait at the entry until a target is available.
 *
 * @module
 */
import { DEFAULT_PRIORITY } from "../messages/priority.ts";
import { FairQueue, type QueuedItem } from "../policy/fair_queue.ts";
import type { AnswerTimes } from "../policy/answer_times.ts";
import { tryGetWaitEndAt } from "../policy/waiting_rule.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { tryCreateUnservedRequest } from "./unserved_request.ts";
import type { NoTargetReason, Unavailability } from "./target_availability.ts";

/** Maximum number of requests that wait at one entry. */
const MAX_WAITING = 256;
interface WaitingRequest extends QueuedItem {
  readonly inFlight: InFlightRequest;
  until: number;
  reason: NoTargetReason;
}

/** A request whose wait expired before a target was available. */
export interface ExpiredWait {
  readonly inFlight: InFlightRequest;
  readonly reason: NoTargetReason;
}

/**
 * Queues requests until a target is available: in the order of the targets' queues for
 * pools whose services differ in priority, and oldest first for other pools.
 */
export class WaitingRequests {
  readonly #answerTimes: AnswerTimes;
  readonly #byId = new Map<number, WaitingRequest>();
  /** Requests of pools with a single priority, oldest first. */
  readonly #firstInFirstOut = new FairQueue<WaitingRequest>(MAX_WAITING);
  /** Requests of pools whose services differ in priority. */
  readonly #prioritized = new FairQueue<WaitingRequest>(MAX_WAITING);
  /** Requests that more urgent ones displaced from the full queue. */
  #displaced: WaitingRequest[] = [];

  /** Creates an empty queue. */
  constructor(answerTimes: AnswerTimes) {
    this.#answerTimes = answerTimes;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#byId.size;
  }

  /** Whether a request can benefit from waiting, if the queue has room. */
  mayWait(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): boolean {
    return this.#tryGetWaitEndAt(inFlight, unavailability, now) !== undefined;
  }

  /** Queues a request; returns false if it must be refused immediately. */
  tryAdd(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): boolean {
    const { reason } = unavailability;
    const until = this.#tryGetWaitEndAt(inFlight, unavailability, now);
    if (until === undefined) return false;
    const waiting = createWaitingRequest(inFlight, { until, reason, now });
    if (this.#byId.size >= MAX_WAITING && !this.#tryDisplace(waiting)) {
      return false;
    }
    this.#add(waiting);
    return true;
  }

  /** Counts the requests that wait for a given reason. */
  countOf(reason: NoTargetReason): number {
    return [...this.#byId.values()]
      .filter((waiting) => waiting.reason === reason).length;
  }

  /** Removes a request from the queue. */
  remove(requestId: number): void {
    this.#displaced = this.#displaced.filter(({ inFlight }) =>
      inFlight.request.id !== requestId
    );
    const waiting = this.#byId.get(requestId);
    if (waiting === undefined) return;
    this.#byId.delete(requestId);
    this.#queueOf(waiting).removeWhere((other) => other === waiting);
  }

  /** Removes a request that is sent to a target; it counts as its organisation's turn. */
  take(requestId: number): void {
    const waiting = this.#byId.get(requestId);
    if (waiting === undefined) return;
    this.#byId.delete(requestId);
    this.#queueOf(waiting).take(waiting);
  }

  /** Returns the waiting requests in the order in which they are to be sent. */
  all(now: number): readonly InFlightRequest[] {
    this.#demoteLate(now);
    return [
      ...this.#firstInFirstOut.listInOrder(),
      ...this.#prioritized.listInOrder(),
    ]
      .map(({ inFlight }) => inFlight);
  }

  /**
   * Updates the reason for which a request still waits. Once it is known that nothing can
   * serve it while its caller waits, its wait ends.
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
    // Each permit request would start a new wait.
    if (reason === "TARGETS_LIMITED") return;
    const { inFlight } = waiting;
    const until = this.#tryGetWaitEndAt(inFlight, unavailability, now) ?? now;
    waiting.until = Math.min(waiting.until, until);
  }

  /** Removes and returns the requests whose wait has expired, and displaced requests. */
  takeExpired(now: number): readonly ExpiredWait[] {
    const expired = [...this.#byId.values()]
      .filter(({ until }) => until <= now);
    for (const { inFlight } of expired) this.remove(inFlight.request.id);
    const displaced = this.#displaced;
    this.#displaced = [];
    return [...displaced, ...expired];
  }

  #add(waiting: WaitingRequest): void {
    this.#byId.set(waiting.inFlight.request.id, waiting);
    this.#queueOf(waiting).add(waiting);
  }

  /** Displaces the least urgent request to make room for a more urgent one. */
  #tryDisplace(waiting: WaitingRequest): boolean {
    if (waiting.inFlight.poolPriorities === undefined) return false;
    const last = this.#prioritized.listInOrder().at(-1);
    if (last === undefined || last.priority <= waiting.priority) return false;
    const displaced = this.#prioritized.tryDrop();
    if (displaced === undefined) return false;
    this.#byId.delete(displaced.inFlight.request.id);
    this.#displaced.push(displaced);
    return true;
  }

  /** Moves requests that have become late behind those that can still be on time. */
  #demoteLate(now: number): void {
    const late = this.#prioritized.removeWhere(({ inFlight, priority }) =>
      inFlight.getPriorityAt(now) !== priority
    );
    for (const { inFlight, until, reason } of late) {
      this.#add(createWaitingRequest(inFlight, { until, reason, now }));
    }
  }

  /** Returns the time at which a request's wait ends; undefined if it may not wait. */
  #tryGetWaitEndAt(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): number | undefined {
    const answerTime = this.#answerTimes.get(inFlight.route.servicePath);
    const unserved = tryCreateUnservedRequest(
      inFlight,
      unavailability,
      answerTime,
    );
    return unserved && tryGetWaitEndAt(unserved, now);
  }

  #queueOf({ inFlight }: WaitingRequest): FairQueue<WaitingRequest> {
    return inFlight.poolPriorities === undefined
      ? this.#firstInFirstOut
      : this.#prioritized;
  }
}

function createWaitingRequest(
  inFlight: InFlightRequest,
  details: {
    readonly until: number;
    readonly reason: NoTargetReason;
    readonly now: number;
  },
): WaitingRequest {
  const { until, reason, now } = details;
  const { poolPriorities, route } = inFlight;
  return {
    inFlight,
    until,
    reason,
    startBy: inFlight.deadlineAt,
    ...poolPriorities === undefined
      ? { priority: DEFAULT_PRIORITY, organisation: "", weight: 1 }
      : {
        priority: inFlight.getPriorityAt(now),
        organisation: route.organisation,
        weight: route.limits.weight,
      },
  };
}
