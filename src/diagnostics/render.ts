/**
 * Sorts findings and formats them with the source line that they refer to.
 *
 * @module
 */
import { LineCounter } from "yaml";
import { getDiagnosticMessage } from "./catalogue.ts";
import type { Diagnostic } from "./types.ts";

/** Formats a finding without its position. */
export function formatDiagnosticText(diagnostic: Diagnostic): string {
  const message = getDiagnosticMessage(diagnostic.name);
  const text = message.template.replace(
    /\{(\d)\}/g,
    (_, index) => diagnostic.arguments[Number(index)] ?? "",
  );
  return `${message.category} LW${message.code}: ${text}`;
}

/** Sorts findings by position and removes duplicates. */
export function sortAndDeduplicate(
  diagnostics: readonly Diagnostic[],
): readonly Diagnostic[] {
  const sorted = [...diagnostics].sort((left, right) =>
    left.file.localeCompare(right.file) || left.start - right.start ||
    getDiagnosticMessage(left.name).code -
      getDiagnosticMessage(right.name).code
  );
  const knownKeys = new Set<string>();
  return sorted.filter((diagnostic) => {
    const key = JSON.stringify(diagnostic);
    const isNew = !knownKeys.has(key);
    knownKeys.add(key);
    return isNew;
  });
}

/**
 * Formats all findings of one file with their source lines.
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
    .map((diagnostic) => formatDiagnostic(diagnostic, lines, counter))
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

function formatDiagnostic(
  diagnostic: Diagnostic,
  lines: readonly string[],
  counter: LineCounter,
): string {
  const position = counter.linePos(diagnostic.start);
  const line = lines[position.line - 1] ?? "";
  const maxLength = Math.max(1, line.length - position.col + 1);
  const underline = " ".repeat(position.col - 1) +
    "~".repeat(Math.min(Math.max(1, diagnostic.length), maxLength));
  const location = `${diagnostic.file}:${position.line}:${position.col}`;
  const text = formatDiagnosticText(diagnostic);
  return `${location} - ${text}\n\n  ${line}\n  ${underline}\n`;
}
