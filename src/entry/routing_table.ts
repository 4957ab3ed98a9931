/**
 * Finds the service of a request by its path.
 *
 * @module
 */
import { nameOfPath, organisationPathOf } from "../settings/check_tree.ts";
import type {
  OrganisationDocument,
  ServiceDocument,
  SettingsDocument,
} from "../settings/types.ts";

/** A service with all that a request needs of it. */
export interface Route {
  /** Settings path of the service; names it in the whole deployment. */
  readonly servicePath: string;
  readonly organisation: string;
  readonly service: ServiceDocument;
  readonly limits: OrganisationDocument;
}

/** Finds services by path prefix; the longest prefix wins. */
export class RoutingTable {
  readonly #byPrefix = new Map<string, Route>();
  readonly #revision: number;

  /** Indexes the services among the documents. */
  constructor(
    documents: ReadonlyMap<string, SettingsDocument>,
    revision: number,
  ) {
    this.#revision = revision;
    for (const [path, document] of documents) {
      if (document.kind === "service") this.#add(path, document, documents);
    }
  }

  /** Revision of the settings that the table was made from. */
  get revision(): number {
    return this.#revision;
  }

  /** Services in the table. */
  get size(): number {
    return this.#byPrefix.size;
  }

  /** Every route. */
  routes(): IterableIterator<Route> {
    return this.#byPrefix.values();
  }

  /**
   * The route of a request path, without its query.
   *
   * @example
   * ```ts
   * table.tryRoute("/andamaq/confirmations/7")?.service.pool; // "confirm"
   * ```
   */
  tryRoute(path: string): Route | undefined {
    let prefix = path;
    while (true) {
      const route = this.#byPrefix.get(prefix);
      if (route !== undefined) return route;
      if (prefix === "") return undefined;
      prefix = prefix.slice(0, prefix.lastIndexOf("/"));
    }
  }

  #add(
    path: string,
    service: ServiceDocument,
    documents: ReadonlyMap<string, SettingsDocument>,
  ): void {
    const organisationPath = organisationPathOf(path);
    const limits = documents.get(organisationPath);
    if (limits?.kind !== "organisation") return;
    this.#byPrefix.set(withoutTrailingSlash(service.pathPrefix), {
      servicePath: path,
      organisation: nameOfPath(organisationPath),
      service,
      limits,
    });
  }
}

function withoutTrailingSlash(prefix: string): string {
  return prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
}
