/**
 * Findings in what a person wrote, with their place.
 *
 * @module
 */
import type { DiagnosticName } from "./catalogue.ts";

/** How bad a finding is. Only errors keep a change from being accepted. */
export type DiagnosticCategory = "error" | "warning";

/** One row of the diagnostics catalogue. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** Text with `{0}`, `{1}` for the arguments. */
  readonly template: string;
}

/** One finding. */
export interface Diagnostic {
  readonly name: DiagnosticName;
  readonly file: string;
  /** Offset of the first character. */
  readonly start: number;
  readonly length: number;
  readonly arguments: readonly string[];
}
