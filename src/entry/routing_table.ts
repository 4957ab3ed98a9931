/**
 * Finds the service of a request by its host and path.
 *
 * @module
 */
import { getOrganisationPath, getPathName } from "../settings/check_tree.ts";
import { PoolPriorities } from "./pool_priorities.ts";
import type {
  OrganisationDocument,
  ServiceDocument,
  SettingsDocument,
} from "../messages/settings_documents.ts";

/** A service, its settings, and the limits of an organisation. */
export interface Route {
  /** Settings path of the service; unique in the deployment. */
  readonly servicePath: string;
  /** The service's owner; after admission, the organisation of the request's caller. */
  readonly organisation: string;
  readonly service: ServiceDocument;
  readonly limits: OrganisationDocument;
}

/** An organisation as the caller of requests. */
export interface Caller {
  readonly organisation: string;
  readonly limits: OrganisationDocument;
}

/** The properties of a request that determine its route. */
export interface RouteQuery {
  /** Path without query string. */
  readonly path: string;
  /** Host name, with or without a port. */
  readonly host?: string;
}

/** Prefix of the settings paths of targets. */
const TARGETS_PREFIX = "/targets/";

/** Prefix of the settings paths of failure domains. */
const FAILURE_DOMAINS_PREFIX = "/failure-domains/";

/** Placeholder for any host in the keys of prefixes; no real host is empty. */
const ANY_HOST = "";
/** Separates host and prefix in keys; neither contains it in a request. */
const KEY_SEPARATOR = "\n";

type Documents = ReadonlyMap<string, SettingsDocument>;

/** Finds services by path prefix; the longest prefix wins. */
export class RoutingTable {
  /** Priorities of the services of each pool. */
  readonly priorities = new PoolPriorities();
  readonly #byPrefix = new Map<string, Route>();
  readonly #byService = new Map<string, Route>();
  /** Settings paths of the services of each organisation, by the organisation's path. */
  readonly #servicesByOrganisation = new Map<string, Set<string>>();
  readonly #leavingTargets = new Set<string>();
  readonly #drainedDomains = new Set<string>();
  /** Callers by the SHA-256 of their access keys. */
  readonly #callers = new Map<string, Caller>();

  /** Indexes the services among the documents. */
  constructor(documents: Documents) {
    for (const path of documents.keys()) {
      this.#updateService(path, documents);
      this.#updateTarget(path, documents);
      this.#updateFailureDomain(path, documents);
      this.#updateCaller(path, documents);
    }
  }

  /** Number of services in the table. */
  get size(): number {
    return this.#byPrefix.size;
  }

  /** Whether services have the same host and prefix; only one of them is found. */
  get hasSharedPrefixes(): boolean {
    return this.#byPrefix.size < this.#byService.size;
  }

  /** Targets that operators have marked as leaving; they receive no new requests. */
  get leavingTargets(): ReadonlySet<string> {
    return this.#leavingTargets;
  }

  /** Failure domains that operators are draining. */
  get drainedFailureDomains(): ReadonlySet<string> {
    return this.#drainedDomains;
  }

  /** Returns all routes. */
  routes(): IterableIterator<Route> {
    return this.#byService.values();
  }

  /** Returns the route of a service by its settings path. */
  tryGet(servicePath: string): Route | undefined {
    return this.#byService.get(servicePath);
  }

  /**
   * Returns the route of a request. Services of the request's host and port take
   * precedence over services of its host, and these over services without a host.
   *
   * @example
   * ```ts
   * const query = { path: "/andamaq/confirmations/7" };
   * table.tryFindRoute(query)?.service.pool; // "confirm"
   * ```
   */
  tryFindRoute(query: RouteQuery): Route | undefined {
    const { path, host } = query;
    for (const candidate of host === undefined ? [] : listHosts(host)) {
      const route = this.#tryFindLongestPrefix(path, candidate);
      if (route !== undefined) return route;
    }
    return this.#tryFindLongestPrefix(path, ANY_HOST);
  }

  /** Returns the organisation that owns an access key. */
  tryFindCaller(accessKeySha256: string): Caller | undefined {
    return this.#callers.get(accessKeySha256);
  }

  /**
   * Looks up the path, then its prefixes up to each slash, with the slash and without it.
   */
  #tryFindLongestPrefix(path: string, host: string): Route | undefined {
    let prefix = path;
    while (true) {
      const route = this.#byPrefix.get(createPrefixKey(host, prefix));
      if (route !== undefined) return route;
      if (prefix === "") return undefined;
      prefix = prefix.endsWith("/")
        ? prefix.slice(0, -1)
        : prefix.slice(0, prefix.lastIndexOf("/") + 1);
    }
  }

  /**
   * Updates the table after changes to settings. The cost is proportional to the number
   * of changed paths, not to the size of the table.
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
    // Removes all services before any is added: a prefix may move between services.
    for (const service of services) this.#removeService(service);
    for (const service of services) this.#updateService(service, documents);
    for (const path of paths) {
      this.#updateTarget(path, documents);
      this.#updateFailureDomain(path, documents);
      this.#updateCaller(path, documents);
    }
    return [...services];
  }

  /** Returns the services whose routes depend on a path. */
  #getAffectedServices(path: string): readonly string[] {
    return [path, ...this.#servicesByOrganisation.get(path) ?? []];
  }

  #updateTarget(path: string, documents: Documents): void {
    if (!path.startsWith(TARGETS_PREFIX)) return;
    const document = documents.get(path);
    const isLeaving = document?.kind === "target" && document.leaving;
    if (isLeaving) this.#leavingTargets.add(getPathName(path));
    else this.#leavingTargets.delete(getPathName(path));
  }

  #updateFailureDomain(path: string, documents: Documents): void {
    if (!path.startsWith(FAILURE_DOMAINS_PREFIX)) return;
    const document = documents.get(path);
    const isDrained = document?.kind === "failure_domain" && document.draining;
    if (isDrained) this.#drainedDomains.add(getPathName(path));
    else this.#drainedDomains.delete(getPathName(path));
  }

  #updateCaller(path: string, documents: Documents): void {
    const organisation = getPathName(path);
    if (path !== getOrganisationPath(path)) return;
    for (const [key, caller] of this.#callers) {
      if (caller.organisation === organisation) this.#callers.delete(key);
    }
    const limits = documents.get(path);
    if (limits?.kind !== "organisation") return;
    for (const key of limits.accessKeySha256) {
      this.#callers.set(key, { organisation, limits });
    }
  }

  #removeService(path: string): void {
    const route = this.#byService.get(path);
    if (route === undefined) return;
    this.#byService.delete(path);
    this.priorities.remove(route.service);
    const prefix = prefixKeyOf(route.service);
    if (this.#byPrefix.get(prefix) === route) this.#byPrefix.delete(prefix);
  }

  #updateService(path: string, documents: Documents): void {
    const service = documents.get(path);
    const organisationPath = getOrganisationPath(path);
    if (service?.kind !== "service") {
      this.#servicesByOrganisation.get(organisationPath)?.delete(path);
      return;
    }
    const siblings = this.#servicesByOrganisation.get(organisationPath) ??
      new Set();
    this.#servicesByOrganisation.set(organisationPath, siblings.add(path));
    const limits = documents.get(organisationPath);
    if (limits?.kind !== "organisation") return;
    const organisation = getPathName(organisationPath);
    const route: Route = { servicePath: path, organisation, service, limits };
    const previous = this.#byService.get(path);
    if (previous !== undefined) this.priorities.remove(previous.service);
    this.#byService.set(path, route);
    this.priorities.add(service);
    this.#byPrefix.set(prefixKeyOf(service), route);
  }
}

/** Returns the key of a service, whose prefix keeps its last slash if paths need it. */
function prefixKeyOf(service: ServiceDocument): string {
  const { host = ANY_HOST, pathPrefix, requiresLastSlash } = service;
  const prefix = pathPrefix.endsWith("/") && !requiresLastSlash
    ? pathPrefix.slice(0, -1)
    : pathPrefix;
  return createPrefixKey(host, prefix);
}

/** Lists the hosts that a request's host matches: itself, and without its port. */
function listHosts(host: string): readonly string[] {
  const requested = host.toLowerCase();
  const hostname = requested.replace(/:\d+$/, "");
  return hostname === requested ? [requested] : [requested, hostname];
}

function createPrefixKey(host: string, prefix: string): string {
  return `${host}${KEY_SEPARATOR}${prefix}`;
}
