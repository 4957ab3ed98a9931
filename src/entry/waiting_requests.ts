/**
 * Queues the requests that wait at the entry until a target is available.
 *
 * @module
 */
import type { AnswerTimes } from "../policy/answer_times.ts";
import { FairQueue, type QueuedItem } from "../policy/fair_queue.ts";
import { getLatestStartAt, tryGetWaitEndAt } from "../policy/waiting_rule.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { NoTargetReason, Unavailability } from "./target_availability.ts";
import {
  getCallerPatience,
  tryCreateUnservedRequest,
} from "./unserved_request.ts";

/** Maximum number of requests that wait at one entry. */
const MAX_WAITING = 256;

/**
 * Reasons that concern single requests, so that others of the pool need not queue behind
 * them.
 */
export const INDIVIDUAL_REASONS: ReadonlySet<NoTargetReason> = new Set([
  "GROUP_BUSY",
  "TARGETS_LIMITED",
  "NO_KEY_OWNER",
]);

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
 * Queues requests until a target is available: by priority, then by organisations in
 * turn, then by the time that their callers have left.
 */
export class WaitingRequests {
  readonly #answerTimes: AnswerTimes;
  readonly #byId = new Map<number, WaitingRequest>();
  readonly #queue = new FairQueue<WaitingRequest>(MAX_WAITING);
  /** Requests that others displaced from the full queue. */
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

  /**
   * Whether requests that are at least as urgent wait for any target of the same pool, so
   * that a request that arrives now would get ahead of them.
   */
  hasBacklogBefore({ pool, priority }: InFlightRequest): boolean {
    for (const { inFlight, reason } of this.#byId.values()) {
      if (inFlight.pool !== pool || inFlight.priority > priority) continue;
      if (!INDIVIDUAL_REASONS.has(reason)) return true;
    }
    return false;
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
    const waiting = this.#createWaiting(inFlight, until, reason);
    const dropped = this.#queue.add(waiting);
    if (dropped === waiting) return false;
    this.#byId.set(inFlight.request.id, waiting);
    if (dropped === undefined) return true;
    this.#byId.delete(dropped.inFlight.request.id);
    this.#displaced.push(dropped);
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
    this.#queue.removeWhere((other) => other === waiting);
  }

  /** Removes a request that is sent to a target; it counts as its organisation's turn. */
  take(requestId: number): void {
    const waiting = this.#byId.get(requestId);
    if (waiting === undefined) return;
    this.#byId.delete(requestId);
    this.#queue.take(waiting);
  }

  /** Returns the waiting requests in the order in which they are to be sent. */
  all(): readonly InFlightRequest[] {
    return this.#queue.listInOrder().map(({ inFlight }) => inFlight);
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

  #createWaiting(
    inFlight: InFlightRequest,
    until: number,
    reason: NoTargetReason,
  ): WaitingRequest {
    const { priority, route } = inFlight;
    return {
      inFlight,
      until,
      reason,
      priority,
      organisation: route.organisation,
      weight: route.limits.weight,
      startBy: getLatestStartAt(
        getCallerPatience(inFlight),
        this.#answerTimes.get(route.servicePath),
      ),
    };
  }

  /** Returns the time at which a request's wait ends; undefined if it may not wait. */
  #tryGetWaitEndAt(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): number | undefined {
    const unserved = tryCreateUnservedRequest(
      inFlight,
      unavailability,
      this.#answerTimes.get(inFlight.route.servicePath),
    );
    return unserved && tryGetWaitEndAt(unserved, now);
  }
}

/**
 * Returns the name of the queue whose requests may all be sent to the same targets;
 * undefined for a request that is bound to a target, or was tried at one.
 */
export function tryGetCommonQueue(
  inFlight: InFlightRequest,
): string | undefined {
  const { attempt, isKeyed, pool, route } = inFlight;
  const isBound = attempt > 0 || isKeyed;
  return isBound ? undefined : `${pool} ${route.service.pauseObjectiveMs}`;
}
