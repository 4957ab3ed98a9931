/**
 * Whether a request that got no answer is sent to another target: where that
 * does no harm, and within what services and pools may be asked again.
 *
 * @module
 */
import {
  PoolRetryBudgets,
  type PoolRetryLimits,
} from "../policy/pool_retry_budgets.ts";
import { RetryBudget } from "../policy/retry_budget.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { type EndedAttempt, mayRetry } from "./retry_rules.ts";
import type { Route } from "./routing_table.ts";

/** Whether a request is sent to another target. */
export class RetryPolicy {
  readonly #byService = new Map<string, RetryBudget>();
  readonly #byPool: PoolRetryBudgets;

  /** Without limits, pools bound nothing. */
  constructor(limits?: PoolRetryLimits) {
    this.#byPool = new PoolRetryBudgets(limits);
  }

  /** How many entries share the limits of pools. */
  setEntries(entries: number): void {
    this.#byPool.setProcesses(entries);
  }

  /** The limits of pools have changed. */
  setLimits(limits: PoolRetryLimits): void {
    this.#byPool.setLimits(limits);
  }

  /** New settings of a service are in force. */
  setRoute(route: Route): void {
    this.#byService.get(route.servicePath)
      ?.setShare(route.service.retryShare);
  }

  /** A request was let in. */
  countRequest(inFlight: InFlightRequest, now: number): void {
    this.#budgetOf(inFlight.route).countRequest();
    this.#byPool.countRequest(inFlight.pool, now);
  }

  /** Takes the right to one more attempt, if it does no harm and time is left. */
  tryTake(
    inFlight: InFlightRequest,
    ended: EndedAttempt,
    now: number,
  ): boolean {
    return now < inFlight.deadlineAt &&
      mayRetry(inFlight, ended) &&
      this.#budgetOf(inFlight.route).tryTake() &&
      this.#byPool.tryTake(inFlight.pool, now);
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
