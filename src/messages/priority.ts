/**
 * How urgent requests are, as numbers and by the names that settings and callers use.
 *
 * @module
 */

/** How urgent a request is: a whole number from 0, which is first, to 9. */
export type Priority = number;

/** Numbers of the priorities that have a name. */
export const PRIORITIES_BY_NAME = {
  quick: 3,
  normal: 5,
  background: 7,
} as const satisfies Readonly<Record<string, Priority>>;

/** Name of a priority. */
export type PriorityName = keyof typeof PRIORITIES_BY_NAME;

/** Names of priorities, most urgent first. */
export const PRIORITY_NAMES = Object.keys(
  PRIORITIES_BY_NAME,
) as readonly PriorityName[];

/** Priority of requests for which nobody named one. */
export const USUAL_PRIORITY: Priority = PRIORITIES_BY_NAME.normal;

/** The least urgent priority. */
export const LEAST_PRIORITY: Priority = 9;

const DIGIT = /^\d$/;

/**
 * Reads a priority from a header: a name, or a digit.
 *
 * @example
 * ```ts
 * tryReadPriority("background"); // 7
 * tryReadPriority("0"); // 0
 * tryReadPriority("10"); // undefined
 * ```
 */
export function tryReadPriority(text: string): Priority | undefined {
  if (DIGIT.test(text)) return Number(text);
  return isPriorityName(text) ? PRIORITIES_BY_NAME[text] : undefined;
}

/**
 * The priority of a request whose answer will be late: after those of its own kind that
 * can be on time, and before the next kind.
 *
 * @example
 * ```ts
 * getLatePriority(5); // 6
 * ```
 */
export function getLatePriority(priority: Priority): Priority {
  return Math.min(LEAST_PRIORITY, priority + 1);
}

function isPriorityName(text: string): text is PriorityName {
  return Object.hasOwn(PRIORITIES_BY_NAME, text);
}
