/**
 * Decides whether a request that got no answer is sent to another target: only if that
 * is safe, and within the retry budgets of its service and pool.
 *
 * @module
 */
import { Debug } from "../core/debug.ts";
import {
  PoolRetryBudgets,
  type PoolRetryLimits,
  type PoolRetryUse,
  type RetryReservation,
} from "../policy/pool_retry_budgets.ts";
import { RetryBudget } from "../policy/retry_budget.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { type EndedAttempt, mayRetry } from "./retry_rules.ts";
import type { Route } from "./routing_table.ts";

/** A retry that may still arrive at its target. */
interface OpenRetry {
  readonly reservation: RetryReservation;
  isSent: boolean;
}

/** Decides whether a request is sent to another target. */
export class RetryPolicy {
  readonly #byService = new Map<string, RetryBudget>();
  readonly #byPool: PoolRetryBudgets;
  readonly #open = new Map<InFlightRequest, OpenRetry>();

  /** Creates a policy; without `limits`, retries of pools are unlimited. */
  constructor(limits?: PoolRetryLimits) {
    this.#byPool = new PoolRetryBudgets(limits);
  }

  /** Sets the names of the entries that share the limits of pools. */
  setEntries(names: readonly string[], now: number): void {
    this.#byPool.setEntries(names, now);
  }

  /** Returns what was counted of a request's pool, on which its next retry depends. */
  getUse(inFlight: InFlightRequest, now: number): PoolRetryUse {
    return this.#byPool.getUse(inFlight.pool, now);
  }

  /** Sets the retry limits of pools. */
  setLimits(limits: PoolRetryLimits): void {
    this.#byPool.setLimits(limits);
  }

  /** Applies new settings of a service. */
  setRoute(route: Route): void {
    this.#byService.get(route.servicePath)
      ?.setShare(route.service.retryShare);
  }

  /** Counts an admitted request, which adds to the retry budgets. */
  countRequest(inFlight: InFlightRequest, now: number): void {
    this.#budgetOf(inFlight.route).recordRequest();
    this.#byPool.recordRequest(inFlight.pool, now);
  }

  /**
   * Takes one retry from the budgets if a retry is safe and the deadline allows it. The
   * retry counts until {@link recordArrived} or {@link recordEnded}.
   */
  tryTake(
    inFlight: InFlightRequest,
    ended: EndedAttempt,
    now: number,
  ): boolean {
    const isUseful = now < inFlight.deadlineAt && mayRetry(inFlight, ended);
    if (!isUseful) return false;
    const reservation = this.#byPool.tryReserve(inFlight.pool, now);
    if (reservation === undefined) return false;
    if (!this.#budgetOf(inFlight.route).tryTake()) {
      reservation.release();
      return false;
    }
    this.recordEnded(inFlight, now);
    this.#open.set(inFlight, { reservation, isSent: false });
    return true;
  }

  /**
   * Records that an attempt is sent. Every attempt passes here, so that none beyond a
   * request's first is sent without being counted.
   */
  recordSent(inFlight: InFlightRequest): void {
    if (inFlight.attempt === 1) return;
    const retry = this.#open.get(inFlight);
    Debug.assert(retry?.isSent === false, "A retry needs a permission");
    retry.isSent = true;
  }

  /** Records that the target has begun to answer the current attempt. */
  recordArrived(inFlight: InFlightRequest, now: number): void {
    if (this.#open.get(inFlight)?.isSent) this.recordEnded(inFlight, now);
  }

  /** Records that the last retry of a request can no longer arrive. */
  recordEnded(inFlight: InFlightRequest, now: number): void {
    const retry = this.#open.get(inFlight);
    if (retry === undefined) return;
    this.#open.delete(inFlight);
    if (retry.isSent) retry.reservation.settle(now);
    else retry.reservation.release();
  }

  #budgetOf(route: Route): RetryBudget {
    let budget = this.#byService.get(route.servicePath);
    if (budget === undefined) {
      budget = new RetryBudget(route.service.retryShare);
      this.#byService.set(route.servicePath, budget);
    }
    return budget;
  }
}
