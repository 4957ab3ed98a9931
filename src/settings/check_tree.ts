/**
 * Checks a document against the other documents in force.
 *
 * @module
 */
import type { Diagnostic } from "../diagnostics/types.ts";
import type {
  ServiceDocument,
  SettingsDocument,
} from "../messages/settings_documents.ts";

/** A valid document with its path and source. */
export interface TreeCandidate {
  readonly path: string;
  readonly file: string;
  readonly text: string;
  readonly document: SettingsDocument;
}

/** Returns the path of the organisation that a service belongs to. */
export function getOrganisationPath(servicePath: string): string {
  return servicePath.split("/").slice(0, 3).join("/");
}

/** Returns the last segment of a path. */
export function getPathName(path: string): string {
  return path.slice(path.lastIndexOf("/") + 1);
}

/**
 * Returns the findings that depend on other documents.
 *
 * @example
 * ```ts
 * const findings = checkAgainstTree(candidate, snapshot.documents);
 * ```
 */
export function checkAgainstTree(
  candidate: TreeCandidate,
  others: ReadonlyMap<string, SettingsDocument>,
): readonly Diagnostic[] {
  const { document } = candidate;
  if (document.kind !== "service") return [];
  return [
    ...checkOrganisation(candidate, others),
    ...checkPrefix(candidate, document, others),
  ];
}

function checkOrganisation(
  candidate: TreeCandidate,
  others: ReadonlyMap<string, SettingsDocument>,
): readonly Diagnostic[] {
  const organisation = getOrganisationPath(candidate.path);
  if (others.has(organisation)) return [];
  return [{
    name: "ORGANISATION_MISSING",
    file: candidate.file,
    start: 0,
    length: 1,
    arguments: [organisation],
  }];
}

function checkPrefix(
  candidate: TreeCandidate,
  document: ServiceDocument,
  others: ReadonlyMap<string, SettingsDocument>,
): readonly Diagnostic[] {
  for (const [path, other] of others) {
    if (path === candidate.path || other.kind !== "service") continue;
    if (other.pathPrefix !== document.pathPrefix) continue;
    return [{
      name: "PREFIX_TAKEN",
      file: candidate.file,
      start: Math.max(0, candidate.text.indexOf("pathPrefix")),
      length: "pathPrefix".length,
      arguments: [document.pathPrefix, path],
    }];
  }
  return [];
}
