/**
 * Exit codes of the program; docs/OPERATIONS.md lists them.
 *
 * @module
 */

/** Exit codes of the program. */
export const EXIT_CODES = {
  OK: 0,
  /** The command failed and changed nothing. */
  FAILED: 1,
  /** Wrong usage, or findings in a file. */
  USAGE: 2,
  /** The process ended with requests in flight, which were cut off. */
  CUT: 3,
  /** Another change of the same path was accepted first. */
  CONFLICT: 4,
  /** The outcome of the change is unknown; retry it with the same change identifier. */
  UNSETTLED: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];
