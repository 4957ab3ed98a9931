/**
 * Admits or rejects requests by settings, route, caller, body size, and the rate and
 * concurrency limits of their organisation.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Priority } from "../messages/priority.ts";
import { TokenBucket } from "../policy/token_bucket.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Route, RoutingTable } from "./routing_table.ts";
import type { CallerRequest } from "./types.ts";

interface OrganisationState {
  readonly bucket: TokenBucket;
  inFlight: number;
}

/** Admits requests, or returns the reason why one is rejected. */
export class Admission {
  #routes: RoutingTable | undefined;
  readonly #organisations = new Map<string, OrganisationState>();

  /** Replaces the routes by those of new settings. */
  setRoutes(routes: RoutingTable): void {
    this.#routes = routes;
  }

  /**
   * Returns the priorities of a pool's services, most urgent first; undefined where all
   * services have the same one.
   */
  tryPrioritiesOf(pool: string): readonly Priority[] | undefined {
    return this.#routes?.priorities.tryPrioritiesOf(pool);
  }

  /** Applies new limits to the organisation of a route. */
  setLimits(route: Route, now: number): void {
    const state = this.#organisations.get(route.organisation);
    state?.bucket.setOptions(bucketOptionsOf(route), now);
  }

  /**
   * Admits a request; it counts as in flight until {@link release} is called.
   *
   * @example
   * ```ts
   * const admitted = admission.admit(request, now);
   * if (admitted.isErr()) refuse(admitted.error);
   * ```
   */
  admit(request: CallerRequest, now: number): Result<Route, RefusalName> {
    if (this.#routes === undefined) return Err("NO_SETTINGS");
    const admitted = this.#tryRouteOf(request, this.#routes);
    if (admitted.isErr()) return admitted;
    const route = admitted.value;
    if (route.service.isUnservable) return Err("SERVICE_UNSERVABLE");
    if (request.body.length > route.service.largestBodyBytes) {
      return Err("BODY_TOO_LARGE");
    }
    const state = this.#stateOf(route, now);
    if (state.inFlight >= route.limits.concurrency) {
      return Err("ORGANISATION_CONCURRENCY");
    }
    if (!state.bucket.tryTake(now)) return Err("ORGANISATION_RATE");
    state.inFlight++;
    return Ok(route);
  }

  /** Ends the accounting of an admitted request that has finished. */
  release(route: Route): void {
    const state = this.#organisations.get(route.organisation);
    if (state !== undefined) state.inFlight--;
  }

  /** Returns the route with the organisation whose limits apply to the request. */
  #tryRouteOf(
    request: CallerRequest,
    routes: RoutingTable,
  ): Result<Route, RefusalName> {
    const path = request.path.split("?", 1)[0] ?? "";
    const route = routes.tryFindRoute({ path, host: request.host });
    if (route === undefined) return Err("NO_ROUTE");
    const caller = request.accessKeySha256 === undefined
      ? undefined
      : routes.tryFindCaller(request.accessKeySha256);
    if (caller !== undefined) return Ok({ ...route, ...caller });
    const isOpen = route.service.callers === "anyone";
    return isOpen ? Ok(route) : Err("UNKNOWN_CALLER");
  }

  #stateOf(route: Route, now: number): OrganisationState {
    let state = this.#organisations.get(route.organisation);
    if (state === undefined) {
      const bucket = new TokenBucket(bucketOptionsOf(route), now);
      state = { bucket, inFlight: 0 };
      this.#organisations.set(route.organisation, state);
    }
    return state;
  }
}

function bucketOptionsOf(route: Route) {
  return {
    perSecond: route.limits.requestsPerSecond,
    burst: route.limits.burst,
  };
}
