/**
 * Tells requests whose callers were refused or cut off before from new ones.
 *
 * @module
 */
import { DeadlineMemory } from "../policy/deadline_memory.ts";
import type { Route } from "./routing_table.ts";
import type { CallerRequest } from "./types.ts";

/** Tells returning callers from new ones, for each service by itself. */
export class RetryingCallers {
  /** Deadlines that callers gave, by service. */
  readonly #memoriesByService = new Map<string, DeadlineMemory>();

  /**
   * Takes in a request that was let in; returns whether its caller has spent a part of
   * its time before. One that names no deadline is taken for new.
   *
   * @example
   * ```ts
   * const isRepeated = returning.observe(request, route, now);
   * ```
   */
  observe(request: CallerRequest, route: Route, now: number): boolean {
    if (request.deadlineMs === undefined) return false;
    return this.#getDeadlineMemory(route, now).observe(request.deadlineMs, now);
  }

  #getDeadlineMemory(
    { servicePath, service }: Route,
    now: number,
  ): DeadlineMemory {
    let memory = this.#memoriesByService.get(servicePath);
    if (memory === undefined) {
      memory = new DeadlineMemory(service.longestDeadlineMs, now);
      this.#memoriesByService.set(servicePath, memory);
    }
    return memory;
  }
}
