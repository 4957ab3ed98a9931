/**
 * Findings in documents that operators write, with their position.
 *
 * @module
 */
import type { DiagnosticName } from "./catalogue.ts";

/** One finding. */
export interface Diagnostic {
  readonly name: DiagnosticName;
  readonly file: string;
  /** Offset of the first character. */
  readonly start: number;
  readonly length: number;
  readonly arguments: readonly string[];
}
