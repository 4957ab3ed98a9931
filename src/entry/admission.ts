/**
 * Lets requests in: drain, settings, route, body, and the organisation's rate
 * and concurrency.
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

/** Lets requests in, or says why not. */
export class Admission {
  #routes: RoutingTable | undefined;
  readonly #organisations = new Map<string, OrganisationState>();

  /** Puts new settings in force. */
  setRoutes(routes: RoutingTable): void {
    this.#routes = routes;
  }

  /** Priorities of a pool's services, most urgent first, where they differ. */
  tryPrioritiesOf(pool: string): readonly Priority[] | undefined {
    return this.#routes?.priorities.tryPrioritiesOf(pool);
  }

  /** New limits of an organisation are in force. */
  setLimits(route: Route, now: number): void {
    const state = this.#organisations.get(route.organisation);
    state?.bucket.setOptions(bucketOptionsOf(route), now);
  }

  /**
   * Lets a request in; it counts as in flight until {@link release}.
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

  /** A request that was let in has ended. */
  release(route: Route): void {
    const state = this.#organisations.get(route.organisation);
    if (state !== undefined) state.inFlight--;
  }

  /** The route, with the organisation that the request is counted on. */
  #tryRouteOf(
    request: CallerRequest,
    routes: RoutingTable,
  ): Result<Route, RefusalName> {
    const path = request.path.split("?", 1)[0] ?? "";
    const route = routes.tryRoute({ path, host: request.host });
    if (route === undefined) return Err("NO_ROUTE");
    const caller = request.accessKeySha256 === undefined
      ? undefined
      : routes.tryCaller(request.accessKeySha256);
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
