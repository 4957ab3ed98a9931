/**
 * Detects requests that are a caller's retry after a refusal or a lost connection.
 *
 * @module
 */
import { DeadlineTracker } from "../policy/deadline_tracker.ts";
import type { Route } from "./routing_table.ts";
import type { CallerRequest } from "./types.ts";

/** Detects callers' retries, separately for each service. */
export class RetryingCallers {
  /** Trackers of the deadlines that callers request, by settings path of the service. */
  readonly #trackersByService = new Map<string, DeadlineTracker>();

  /**
   * Records an admitted request; returns whether its caller has already used a part of
   * its deadline. A request without a deadline counts as new.
   *
   * @example
   * ```ts
   * const isRepeated = retryingCallers.observe(request, route, now);
   * ```
   */
  observe(request: CallerRequest, route: Route, now: number): boolean {
    if (request.deadlineMs === undefined) return false;
    return this.#getDeadlineTracker(route, now).observe(
      request.deadlineMs,
      now,
    );
  }

  #getDeadlineTracker(
    { servicePath, service }: Route,
    now: number,
  ): DeadlineTracker {
    let tracker = this.#trackersByService.get(servicePath);
    if (tracker === undefined) {
      tracker = new DeadlineTracker(service.longestDeadlineMs, now);
      this.#trackersByService.set(servicePath, tracker);
    }
    return tracker;
  }
}
