/**
 * Exit codes of the program; docs/OPERATIONS.md lists them.
 *
 * @module
 */

/** Exit codes of the program. */
export const EXIT_CODES = {
  OK: 0,
  /** The work could not be done; nothing was changed. */
  FAILED: 1,
  /** Wrong usage, or findings in a file. */
  USAGE: 2,
  /** Ended with requests in flight. */
  CUT: 3,
  /** Somebody else changed the same path. */
  CONFLICT: 4,
  /** It is not known whether the change was accepted; ask again. */
  UNSETTLED: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];
