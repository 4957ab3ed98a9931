/**
 * Parses and checks one settings document, and collects all findings with their
 * position.
 *
 * @module
 */
import { isMap, isPair, type Node, parseDocument } from "yaml";
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import type { DiagnosticName } from "../diagnostics/catalogue.ts";
import type { Diagnostic } from "../diagnostics/types.ts";
import { DOCUMENT_SCHEMA } from "./schema.ts";
import type {
  ServiceDocument,
  SettingsDocument,
} from "../messages/settings_documents.ts";

/** Maximum size of one document, in bytes. */
export const MAX_DOCUMENT_BYTES = 65_536;

/** Document kinds by the pattern of their path. */
const PATH_RULES: readonly PathRule[] = [
  { pattern: /^\/organisations\/[^/]+$/, kind: "organisation" },
  { pattern: /^\/organisations\/[^/]+\/services\/[^/]+$/, kind: "service" },
  { pattern: /^\/teams\/[^/]+$/, kind: "team" },
  { pattern: /^\/groups\/[^/]+$/, kind: "group" },
  { pattern: /^\/targets\/[^/]+$/, kind: "target" },
  { pattern: /^\/failure-domains\/[^/]+$/, kind: "failure_domain" },
];
const PATH_PATTERN = /^(\/[a-z0-9][a-z0-9_-]{0,62})+$/;

interface PathRule {
  readonly pattern: RegExp;
  readonly kind: SettingsDocument["kind"];
}

/** A document to check. */
export interface DocumentSource {
  readonly path: string;
  readonly text: string;
  /** Name shown with the findings. */
  readonly file: string;
}

/**
 * Returns the document kind that belongs to a path; undefined if it is not a settings
 * path.
 */
export function tryGetKindOfPath(
  path: string,
): SettingsDocument["kind"] | undefined {
  if (!PATH_PATTERN.test(path)) return undefined;
  return PATH_RULES.find((row) => row.pattern.test(path))?.kind;
}

/**
 * Checks a document without regard to other documents.
 *
 * @example
 * ```ts
 * const checked = checkDocument({ path: "/organisations/a", text, file });
 * if (checked.isErr()) console.error(formatDiagnostics(checked.error, text));
 * ```
 */
export function checkDocument(
  source: DocumentSource,
): Result<SettingsDocument, readonly Diagnostic[]> {
  const checker = new DocumentChecker(source);
  return checker.check();
}

class DocumentChecker {
  readonly #source: DocumentSource;
  readonly #findings: Diagnostic[] = [];

  constructor(source: DocumentSource) {
    this.#source = source;
  }

  check(): Result<SettingsDocument, readonly Diagnostic[]> {
    const kind = tryGetKindOfPath(this.#source.path);
    if (kind === undefined) {
      this.#add("BAD_PATH", { range: [0, 1] }, this.#source.path);
    }
    const size = new TextEncoder().encode(this.#source.text).length;
    if (size > MAX_DOCUMENT_BYTES) {
      this.#add(
        "DOCUMENT_TOO_LARGE",
        { range: [0, 1] },
        String(size),
        String(MAX_DOCUMENT_BYTES),
      );
      return Err(this.#findings);
    }
    const root = this.#parse();
    if (root === undefined) return Err(this.#findings);
    const document = this.#checkSchema(root.value, root.node);
    if (document === undefined) return Err(this.#findings);
    if (kind !== undefined && document.kind !== kind) {
      this.#add(
        "KIND_DOES_NOT_MATCH_PATH",
        this.#getPosition(root.node, ["kind"]),
        this.#source.path,
        kind,
      );
    }
    if (document.kind === "service") this.#checkService(document, root.node);
    return this.#findings.length > 0 ? Err(this.#findings) : Ok(document);
  }

  #parse(): ParsedRoot | undefined {
    const parsed = parseDocument(this.#source.text, { uniqueKeys: true });
    for (const error of parsed.errors) {
      const text = error.message.split("\n")[0] ?? error.message;
      this.#add(
        "YAML_SYNTAX",
        { range: error.pos },
        text.replace(/ at line.*$/, ""),
      );
    }
    if (parsed.errors.length > 0) return undefined;
    if (parsed.contents === null) {
      this.#add("EMPTY_DOCUMENT", { range: [0, 1] });
      return undefined;
    }
    return { node: parsed.contents, value: parsed.toJS({ maxAliasCount: 0 }) };
  }

  #checkSchema(value: unknown, node: Node): SettingsDocument | undefined {
    const parsed = DOCUMENT_SCHEMA.safeParse(value);
    if (parsed.success) return parsed.data as SettingsDocument;
    for (const issue of parsed.error.issues) this.#addIssue(issue, node);
    return undefined;
  }

  #addIssue(issue: z.core.$ZodIssue, node: Node): void {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
      for (const key of issue.keys) {
        const position = this.#getPosition(node, [...path, key]);
        this.#add("UNKNOWN_PROPERTY", position, key);
      }
      return;
    }
    const position = this.#getPosition(node, path);
    if (issue.code === "invalid_type" && !isPresent(node, path)) {
      return this.#add("MISSING_PROPERTY", position, path.join("."));
    }
    this.#add(
      "WRONG_VALUE",
      position,
      path.join(".") || "document",
      issue.message,
    );
  }

  #checkService(service: ServiceDocument, node: Node): void {
    if (
      service.handover === "scripts" && service.scriptsAddress === undefined
    ) {
      this.#add(
        "SCRIPTS_ADDRESS_MISSING",
        this.#getPosition(node, ["handover"]),
      );
    }
    if (service.defaultDeadlineMs > service.longestDeadlineMs) {
      this.#add(
        "DEADLINES_CROSSED",
        this.#getPosition(node, ["defaultDeadlineMs"]),
      );
    }
  }

  /** Returns the position of the deepest node on `path` that exists in the text. */
  #getPosition(node: Node, path: readonly string[]): Position {
    let current: Node = node;
    let range = getRange(node);
    for (const name of path) {
      if (!isMap(current)) break;
      const pair = current.items.find((item) =>
        isPair(item) && String(item.key) === name
      );
      if (pair === undefined) break;
      const key = getRange(pair.key as Node);
      const value = pair.value as Node | null;
      range = [key[0], value === null ? key[1] : getRange(value)[1]];
      if (value === null) break;
      current = value;
    }
    return { range };
  }

  #add(name: DiagnosticName, position: Position, ...texts: string[]): void {
    this.#findings.push({
      name,
      file: this.#source.file,
      start: position.range[0],
      length: position.range[1] - position.range[0],
      arguments: texts,
    });
  }
}

interface Position {
  readonly range: readonly [start: number, end: number];
}

interface ParsedRoot {
  readonly node: Node;
  readonly value: unknown;
}

/** Returns whether the text has a value at a path of properties. */
function isPresent(node: Node, path: readonly string[]): boolean {
  return isMap(node) ? node.hasIn(path) : path.length === 0;
}

function getRange(node: Node): readonly [number, number] {
  const range = node.range;
  return range ? [range[0], range[1]] : [0, 1];
}
