/**
 * Priorities of requests, as numbers and as the names that settings and callers use.
 *
 * @module
 */

/** Priority of a request: an integer from 0 (most urgent) to 9 (least urgent). */
export type Priority = number;

/** Priorities that have a name. */
export const PRIORITIES_BY_NAME = {
  quick: 3,
  normal: 5,
  background: 7,
} as const satisfies Readonly<Record<string, Priority>>;

/** Name of a priority. */
export type PriorityName = keyof typeof PRIORITIES_BY_NAME;

/** Names of priorities, starting with the most urgent one. */
export const PRIORITY_NAMES = Object.keys(
  PRIORITIES_BY_NAME,
) as readonly PriorityName[];

/** Priority of requests for which none is specified. */
export const DEFAULT_PRIORITY: Priority = PRIORITIES_BY_NAME.normal;

/** The least urgent priority. */
export const LOWEST_PRIORITY: Priority = 9;

const DIGIT = /^\d$/;

/**
 * Parses a priority from a header, which holds either a name or a digit.
 *
 * @example
 * ```ts
 * tryParsePriority("background"); // 7
 * tryParsePriority("0"); // 0
 * tryParsePriority("10"); // undefined
 * ```
 */
export function tryParsePriority(text: string): Priority | undefined {
  if (DIGIT.test(text)) return Number(text);
  return isPriorityName(text) ? PRIORITIES_BY_NAME[text] : undefined;
}

function isPriorityName(text: string): text is PriorityName {
  return Object.hasOwn(PRIORITIES_BY_NAME, text);
}
