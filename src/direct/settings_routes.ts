/**
 * Keeps the routing table of the operators' settings, and updates only what a new version
 * changes.
 *
 * @module
 */
import { RoutingTable } from "../entry/routing_table.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";

type Documents = ReadonlyMap<string, SettingsDocument>;

/** The routes of a version of the settings. */
export interface RoutesInForce {
  readonly routes: RoutingTable;
  /** Services that changed; undefined: any may have changed. */
  readonly changed?: readonly string[];
}

/** The routing table of the operators' settings. */
export class SettingsRoutes {
  #documents: Documents = new Map();
  #table: RoutingTable | undefined;

  /**
   * Applies a version. A document that is the same object as in the previous version has
   * not changed.
   *
   * @example
   * ```ts
   * const { routes, changed } = settingsRoutes.apply(settings.documents);
   * ```
   */
  apply(documents: Documents): RoutesInForce {
    const changed = findChanges(this.#documents, documents);
    this.#documents = documents;
    const refreshed = this.#tryRefresh(changed, documents);
    if (refreshed !== undefined) return refreshed;
    this.#table = new RoutingTable(documents);
    return { routes: this.#table };
  }

  /**
   * Updates the table; undefined if services share a prefix, as it then depends on the
   * order of all documents which of them is found.
   */
  #tryRefresh(
    paths: readonly string[],
    documents: Documents,
  ): RoutesInForce | undefined {
    const routes = this.#table;
    if (routes === undefined || routes.hasSharedPrefixes) return undefined;
    const changed = routes.refresh(paths, documents);
    return routes.hasSharedPrefixes ? undefined : { routes, changed };
  }
}

/** Returns the paths of documents that were added, replaced or removed. */
function findChanges(before: Documents, after: Documents): readonly string[] {
  const changed: string[] = [];
  for (const [path, document] of after) {
    if (before.get(path) !== document) changed.push(path);
  }
  for (const path of before.keys()) {
    if (!after.has(path)) changed.push(path);
  }
  return changed;
}
