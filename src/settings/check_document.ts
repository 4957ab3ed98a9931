/**
 * Checks one settings document: scan, parse, check. All findings are collected
 * with their place.
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

/** Longest text of one document, in bytes. */
export const MAX_DOCUMENT_BYTES = 65_536;

/** Kinds by the shape of their path. */
const PATH_KINDS: readonly PathKind[] = [
  { pattern: /^\/organisations\/[^/]+$/, kind: "organisation" },
  { pattern: /^\/organisations\/[^/]+\/services\/[^/]+$/, kind: "service" },
  { pattern: /^\/teams\/[^/]+$/, kind: "team" },
  { pattern: /^\/groups\/[^/]+$/, kind: "group" },
  { pattern: /^\/targets\/[^/]+$/, kind: "target" },
  { pattern: /^\/failure-domains\/[^/]+$/, kind: "failure_domain" },
];
const PATH_PATTERN = /^(\/[a-z0-9][a-z0-9_-]{0,62})+$/;

interface PathKind {
  readonly pattern: RegExp;
  readonly kind: SettingsDocument["kind"];
}

/** What a document is checked as. */
export interface DocumentSource {
  readonly path: string;
  readonly text: string;
  /** Name shown with the findings. */
  readonly file: string;
}

/** The kind that a path asks for, or undefined when it is no settings path. */
export function tryKindOfPath(
  path: string,
): SettingsDocument["kind"] | undefined {
  if (!PATH_PATTERN.test(path)) return undefined;
  return PATH_KINDS.find((row) => row.pattern.test(path))?.kind;
}

/**
 * Checks a document by itself, without the others.
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
    const kind = tryKindOfPath(this.#source.path);
    if (kind === undefined) {
      this.#add("BAD_PATH", { at: [0, 1] }, this.#source.path);
    }
    const size = new TextEncoder().encode(this.#source.text).length;
    if (size > MAX_DOCUMENT_BYTES) {
      this.#add(
        "DOCUMENT_TOO_LARGE",
        { at: [0, 1] },
        String(size),
        String(MAX_DOCUMENT_BYTES),
      );
      return Err(this.#findings);
    }
    const root = this.#parse();
    if (root === undefined) return Err(this.#findings);
    const document = this.#checkShape(root.value, root.node);
    if (document === undefined) return Err(this.#findings);
    if (kind !== undefined && document.kind !== kind) {
      this.#add(
        "KIND_DOES_NOT_MATCH_PATH",
        this.#placeOf(root.node, ["kind"]),
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
        { at: error.pos },
        text.replace(/ at line.*$/, ""),
      );
    }
    if (parsed.errors.length > 0) return undefined;
    if (parsed.contents === null) {
      this.#add("EMPTY_DOCUMENT", { at: [0, 1] });
      return undefined;
    }
    return { node: parsed.contents, value: parsed.toJS({ maxAliasCount: 0 }) };
  }

  #checkShape(value: unknown, node: Node): SettingsDocument | undefined {
    const shape = DOCUMENT_SCHEMA.safeParse(value);
    if (shape.success) return shape.data as SettingsDocument;
    for (const issue of shape.error.issues) this.#addIssue(issue, node);
    return undefined;
  }

  #addIssue(issue: z.core.$ZodIssue, node: Node): void {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
      for (const key of issue.keys) {
        const place = this.#placeOf(node, [...path, key]);
        this.#add("UNKNOWN_PROPERTY", place, key);
      }
      return;
    }
    const place = this.#placeOf(node, path);
    if (issue.code === "invalid_type" && !isPresent(node, path)) {
      return this.#add("MISSING_PROPERTY", place, path.join("."));
    }
    this.#add(
      "WRONG_VALUE",
      place,
      path.join(".") || "document",
      issue.message,
    );
  }

  #checkService(service: ServiceDocument, node: Node): void {
    if (
      service.handover === "scripts" && service.scriptsAddress === undefined
    ) {
      this.#add("SCRIPTS_ADDRESS_MISSING", this.#placeOf(node, ["handover"]));
    }
    if (service.defaultDeadlineMs > service.longestDeadlineMs) {
      this.#add(
        "DEADLINES_CROSSED",
        this.#placeOf(node, ["defaultDeadlineMs"]),
      );
    }
  }

  /** Place of the deepest node on `path` that is in the text. */
  #placeOf(node: Node, path: readonly string[]): Place {
    let current: Node = node;
    let range = rangeOf(node);
    for (const name of path) {
      if (!isMap(current)) break;
      const pair = current.items.find((item) =>
        isPair(item) && String(item.key) === name
      );
      if (pair === undefined) break;
      const key = rangeOf(pair.key as Node);
      const value = pair.value as Node | null;
      range = [key[0], value === null ? key[1] : rangeOf(value)[1]];
      if (value === null) break;
      current = value;
    }
    return { at: range };
  }

  #add(name: DiagnosticName, place: Place, ...texts: string[]): void {
    this.#findings.push({
      name,
      file: this.#source.file,
      start: place.at[0],
      length: place.at[1] - place.at[0],
      arguments: texts,
    });
  }
}

interface Place {
  readonly at: readonly [start: number, end: number];
}

interface ParsedRoot {
  readonly node: Node;
  readonly value: unknown;
}

/** Whether the text has something at a path of properties. */
function isPresent(node: Node, path: readonly string[]): boolean {
  return isMap(node) ? node.hasIn(path) : path.length === 0;
}

function rangeOf(node: Node): readonly [number, number] {
  const range = node.range;
  return range ? [range[0], range[1]] : [0, 1];
}
