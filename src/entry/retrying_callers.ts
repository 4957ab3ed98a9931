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
  /** Deadlines that callers requested, by service. */
  readonly #memoriesByService = new Map<string, DeadlineTracker>();

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
    return this.#getDeadlineMemory(route, now).observe(request.deadlineMs, now);
  }

  #getDeadlineMemory(
    { servicePath, service }: Route,
    now: number,
  ): DeadlineTracker {
    let memory = this.#memoriesByService.get(servicePath);
    if (memory === undefined) {
      memory = new DeadlineTracker(service.longestDeadlineMs, now);
      this.#memoriesByService.set(servicePath, memory);
    }
    return memory;
  }
}
