/**
 * Types of the diagnostics catalogue.
 *
 * @module
 */

/** Severity of a finding. Only errors prevent a change from being accepted. */
export type DiagnosticCategory = "error" | "warning";

/** One row of the diagnostics catalogue. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** Message text with the placeholders `{0}` and `{1}` for the arguments. */
  readonly template: string;
}
