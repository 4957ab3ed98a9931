/**
 * Prints findings in process settings.
 *
 * @module
 */
import process from "node:process";
import type { ProcessSettingsFinding } from "../process/process_settings.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

/** Prints all findings of a file and returns the exit code for them. */
export function printFindings(
  file: string,
  findings: readonly ProcessSettingsFinding[],
): ExitCode {
  for (const finding of findings) {
    const property = finding.property === "" ? "" : `${finding.property}: `;
    process.stderr.write(`${file} - error: ${property}${finding.text}\n`);
  }
  return EXIT_CODES.USAGE;
}
