/**
 * Sorts findings and shows them with the line that they are about.
 *
 * @module
 */
import { LineCounter } from "yaml";
import { getDiagnosticMessage } from "./catalogue.ts";
import type { Diagnostic } from "./types.ts";

/** The text of a finding without its place. */
export function formatDiagnosticText(diagnostic: Diagnostic): string {
  const message = getDiagnosticMessage(diagnostic.name);
  const text = message.template.replace(
    /\{(\d)\}/g,
    (_, index) => diagnostic.arguments[Number(index)] ?? "",
  );
  return `${message.category} LW${message.code}: ${text}`;
}

/** Sorts by place and leaves out what stands twice. */
export function sortAndDeduplicate(
  diagnostics: readonly Diagnostic[],
): readonly Diagnostic[] {
  const sorted = [...diagnostics].sort((left, right) =>
    left.file.localeCompare(right.file) || left.start - right.start ||
    getDiagnosticMessage(left.name).code -
      getDiagnosticMessage(right.name).code
  );
  const seen = new Set<string>();
  return sorted.filter((diagnostic) => {
    const key = JSON.stringify(diagnostic);
    const isNew = !seen.has(key);
    seen.add(key);
    return isNew;
  });
}

/**
 * Shows all findings of one file with their lines.
 *
 * @example
 * ```ts
 * console.error(formatDiagnostics(findings, text));
 * ```
 */
export function formatDiagnostics(
  diagnostics: readonly Diagnostic[],
  source: string,
): string {
  const lines = source.split("\n");
  const counter = createLineCounter(source);
  return sortAndDeduplicate(diagnostics)
    .map((diagnostic) => formatOne(diagnostic, lines, counter))
    .join("\n");
}

function createLineCounter(source: string): LineCounter {
  const counter = new LineCounter();
  counter.addNewLine(0);
  for (let index = 0; index < source.length; index++) {
    if (source[index] === "\n") counter.addNewLine(index + 1);
  }
  return counter;
}

function formatOne(
  diagnostic: Diagnostic,
  lines: readonly string[],
  counter: LineCounter,
): string {
  const place = counter.linePos(diagnostic.start);
  const line = lines[place.line - 1] ?? "";
  const room = Math.max(1, line.length - place.col + 1);
  const underline = " ".repeat(place.col - 1) +
    "~".repeat(Math.min(Math.max(1, diagnostic.length), room));
  const where = `${diagnostic.file}:${place.line}:${place.col}`;
  const text = formatDiagnosticText(diagnostic);
  return `${where} - ${text}\n\n  ${line}\n  ${underline}\n`;
}
