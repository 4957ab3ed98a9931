/**
 * Finds the service of a request by its path.
 *
 * @module
 */
import { nameOfPath, organisationPathOf } from "../settings/check_tree.ts";
import { PoolPriorities } from "./pool_priorities.ts";
import type {
  OrganisationDocument,
  ServiceDocument,
  SettingsDocument,
} from "../messages/settings_documents.ts";

/** A service with all that a request needs of it. */
export interface Route {
  /** Settings path of the service; names it in the whole deployment. */
  readonly servicePath: string;
  /** The service's owner; of an admitted request, its caller's organisation. */
  readonly organisation: string;
  readonly service: ServiceDocument;
  readonly limits: OrganisationDocument;
}

/** An organisation as the caller of requests. */
export interface Caller {
  readonly organisation: string;
  readonly limits: OrganisationDocument;
}

/** What of a request decides its route. */
export interface RouteQuery {
  /** Path without query. */
  readonly path: string;
  readonly host?: string;
}

/** Settings paths of targets begin with this. */
const TARGETS_PREFIX = "/targets/";

/** Settings paths of failure domains begin with this. */
const FAILURE_DOMAINS_PREFIX = "/failure-domains/";

/** Stands for any host in the keys of prefixes; no host is empty. */
const ANY_HOST = "";

type Documents = ReadonlyMap<string, SettingsDocument>;

/** Finds services by path prefix; the longest prefix wins. */
export class RoutingTable {
  /** Priorities of the services of each pool. */
  readonly priorities = new PoolPriorities();
  readonly #byPrefix = new Map<string, Route>();
  readonly #byService = new Map<string, Route>();
  /** Paths of the services of each organisation, by its path. */
  readonly #servicesByOrganisation = new Map<string, Set<string>>();
  readonly #leavingTargets = new Set<string>();
  readonly #drainedDomains = new Set<string>();
  /** Callers by the SHA-256 of their access keys. */
  readonly #callers = new Map<string, Caller>();

  /** Indexes the services among the documents. */
  constructor(documents: Documents) {
    for (const path of documents.keys()) {
      this.#update(path, documents);
      this.#updateTarget(path, documents);
      this.#updateFailureDomain(path, documents);
      this.#updateCaller(path, documents);
    }
  }

  /** Services in the table. */
  get size(): number {
    return this.#byPrefix.size;
  }

  /** Targets that take no new work by the operators' word. */
  get leavingTargets(): ReadonlySet<string> {
    return this.#leavingTargets;
  }

  /** Failure domains that operators drain. */
  get drainedFailureDomains(): ReadonlySet<string> {
    return this.#drainedDomains;
  }

  /** Every route. */
  routes(): IterableIterator<Route> {
    return this.#byService.values();
  }

  /** The route of a service's settings path. */
  tryGet(servicePath: string): Route | undefined {
    return this.#byService.get(servicePath);
  }

  /**
   * The route of a request. Services of its host go before those of any host.
   *
   * @example
   * ```ts
   * const place = { path: "/andamaq/confirmations/7" };
   * table.tryRoute(place)?.service.pool; // "confirm"
   * ```
   */
  tryRoute(place: RouteQuery): Route | undefined {
    const { path, host } = place;
    const ofHost = host === undefined
      ? undefined
      : this.#tryFindLongestPrefix(path, host.toLowerCase());
    return ofHost ?? this.#tryFindLongestPrefix(path, ANY_HOST);
  }

  /** The organisation that an access key belongs to. */
  tryCaller(accessKeySha256: string): Caller | undefined {
    return this.#callers.get(accessKeySha256);
  }

  #tryFindLongestPrefix(path: string, host: string): Route | undefined {
    let prefix = path;
    while (true) {
      const route = this.#byPrefix.get(`${host}${prefix}`);
      if (route !== undefined) return route;
      if (prefix === "") return undefined;
      prefix = prefix.slice(0, prefix.lastIndexOf("/"));
    }
  }

  /**
   * Takes in changed paths; the work grows with them, not with the table.
   *
   * @returns the settings paths of the services that changed
   */
  refresh(
    paths: readonly string[],
    documents: Documents,
  ): readonly string[] {
    const services = new Set(
      paths.flatMap((path) => this.#getAffectedServices(path)),
    );
    // All leave before any comes: prefixes may pass from one to another.
    for (const service of services) this.#remove(service);
    for (const service of services) this.#update(service, documents);
    for (const path of paths) {
      this.#updateTarget(path, documents);
      this.#updateFailureDomain(path, documents);
      this.#updateCaller(path, documents);
    }
    return [...services];
  }

  /** The services whose route depends on a path. */
  #getAffectedServices(path: string): readonly string[] {
    return [path, ...this.#servicesByOrganisation.get(path) ?? []];
  }

  #updateTarget(path: string, documents: Documents): void {
    if (!path.startsWith(TARGETS_PREFIX)) return;
    const document = documents.get(path);
    const isLeaving = document?.kind === "target" && document.leaving;
    if (isLeaving) this.#leavingTargets.add(nameOfPath(path));
    else this.#leavingTargets.delete(nameOfPath(path));
  }

  #updateFailureDomain(path: string, documents: Documents): void {
    if (!path.startsWith(FAILURE_DOMAINS_PREFIX)) return;
    const document = documents.get(path);
    const isDrained = document?.kind === "failure_domain" && document.draining;
    if (isDrained) this.#drainedDomains.add(nameOfPath(path));
    else this.#drainedDomains.delete(nameOfPath(path));
  }

  #updateCaller(path: string, documents: Documents): void {
    const organisation = nameOfPath(path);
    if (path !== organisationPathOf(path)) return;
    for (const [key, caller] of this.#callers) {
      if (caller.organisation === organisation) this.#callers.delete(key);
    }
    const limits = documents.get(path);
    if (limits?.kind !== "organisation") return;
    for (const key of limits.accessKeySha256) {
      this.#callers.set(key, { organisation, limits });
    }
  }

  #remove(path: string): void {
    const route = this.#byService.get(path);
    if (route === undefined) return;
    this.#byService.delete(path);
    this.priorities.remove(route.service);
    const prefix = prefixKeyOf(route.service);
    if (this.#byPrefix.get(prefix) === route) this.#byPrefix.delete(prefix);
  }

  #update(path: string, documents: Documents): void {
    const service = documents.get(path);
    if (service?.kind !== "service") return;
    const organisationPath = organisationPathOf(path);
    const siblings = this.#servicesByOrganisation.get(organisationPath) ??
      new Set();
    this.#servicesByOrganisation.set(organisationPath, siblings.add(path));
    const limits = documents.get(organisationPath);
    if (limits?.kind !== "organisation") return;
    const organisation = nameOfPath(organisationPath);
    const route: Route = { servicePath: path, organisation, service, limits };
    const known = this.#byService.get(path);
    if (known !== undefined) this.priorities.remove(known.service);
    this.#byService.set(path, route);
    this.priorities.add(service);
    this.#byPrefix.set(prefixKeyOf(service), route);
  }
}

/** Host and prefix as one key; a prefix ends without a slash. */
function prefixKeyOf(service: ServiceDocument): string {
  const { host, pathPrefix } = service;
  const prefix = pathPrefix.endsWith("/")
    ? pathPrefix.slice(0, -1)
    : pathPrefix;
  return `${host ?? ANY_HOST}${prefix}`;
}
