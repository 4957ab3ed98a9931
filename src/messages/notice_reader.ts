/**
 * Reads what a back end says of itself in the headers of an answer.
 *
 * @module
 */
import type { BackoffWord, UnreadableWord } from "./back_end_notice.ts";
import type { Header } from "./types.ts";

/** Status of an answer that may ask its receiver to send nothing for a time. */
export const UNAVAILABLE_STATUS = 503;

/** A decimal number of at most nine digits before the point. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;
/** Characters of an unreadable word that are kept for the log. */
const UNREADABLE_LENGTH = 40;
const RETRY_AFTER = "retry-after";

/**
 * What an answer says of a backoff. Only one of status 503 speaks of the back end as a whole;
 * with another status the header concerns the caller. A date is unreadable: the time of
 * day here and there may differ by seconds.
 *
 * @example
 * ```ts
 * readBackoff(503, [["retry-after", "1.5"]]); // { kind: "backoff", milliseconds: 1500 }
 * ```
 */
export function readBackoff(
  status: number,
  headers: readonly Header[],
): BackoffWord {
  if (status !== UNAVAILABLE_STATUS) return { kind: "none" };
  const text = tryWord(headers, RETRY_AFTER);
  if (text === undefined) return { kind: "none" };
  const seconds = tryDecimal(text);
  return seconds === undefined
    ? createUnreadable(text)
    : { kind: "backoff", milliseconds: seconds * 1000 };
}

/** A header's value; its values joined where it is there twice. */
export function tryWord(
  headers: readonly Header[],
  wanted: string,
): string | undefined {
  const values = headers.filter(([name]) => name === wanted);
  if (values.length === 0) return undefined;
  return values.map(([, value]) => value).join(", ");
}

/** A number without sign or exponent. */
export function tryDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}

/** A word that cannot be understood, for the log. */
export function createUnreadable(text: string): UnreadableWord {
  return { kind: "unreadable", text: text.slice(0, UNREADABLE_LENGTH) };
}
