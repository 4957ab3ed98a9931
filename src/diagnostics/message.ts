/**
 * What a row of the diagnostics catalogue says.
 *
 * @module
 */

/** How bad a finding is. Only errors keep a change from being accepted. */
export type DiagnosticCategory = "error" | "warning";

/** One row of the diagnostics catalogue. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** Text with `{0}`, `{1}` for the arguments. */
  readonly template: string;
}
