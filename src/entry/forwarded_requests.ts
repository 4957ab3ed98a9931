/**
 * Keeps the requests that were forwarded to the old scripts and have not ended.
 *
 * @module
 */
import type { Admission } from "./admission.ts";
import type { Route } from "./routing_table.ts";

/** The requests that the old scripts answer. */
export class ForwardedRequests {
  readonly #admission: Admission;
  /** Routes by request id. */
  readonly #routes = new Map<number, Route>();

  /** Creates a set without requests; `admission` counts those that end. */
  constructor(admission: Admission) {
    this.#admission = admission;
  }

  get size(): number {
    return this.#routes.size;
  }

  /** Adds a request that was forwarded. */
  add(requestId: number, route: Route): void {
    this.#routes.set(requestId, route);
  }

  /** Removes a request that has ended. */
  finish(requestId: number): void {
    const route = this.#routes.get(requestId);
    if (route === undefined) return;
    this.#routes.delete(requestId);
    this.#admission.release(route);
  }
}
