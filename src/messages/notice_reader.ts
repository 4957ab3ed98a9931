/**
 * Parses the notices of a back end from the headers of an answer.
 *
 * @module
 */
import type { BackoffNotice, UnreadableNotice } from "./back_end_notice.ts";
import type { Header } from "./types.ts";

/** Status of answers whose `Retry-After` header requests a backoff. */
export const UNAVAILABLE_STATUS = 503;

/** A decimal number with at most nine digits before and after the point. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;
/** Maximum number of characters of an unreadable notice that are logged. */
const MAX_UNREADABLE_LENGTH = 40;
const RETRY_AFTER = "retry-after";

/**
 * Parses the backoff that an answer requests. Only with status 503 does the header apply
 * to the whole back end; with any other status it concerns the caller. A date counts as
 * unreadable, since the clocks of the two VMs may differ by seconds.
 *
 * @example
 * ```ts
 * parseBackoff(503, [["retry-after", "1.5"]]); // { kind: "backoff", milliseconds: 1500 }
 * ```
 */
export function parseBackoff(
  status: number,
  headers: readonly Header[],
): BackoffNotice {
  if (status !== UNAVAILABLE_STATUS) return { kind: "none" };
  const text = tryGetHeader(headers, RETRY_AFTER);
  if (text === undefined) return { kind: "none" };
  const seconds = tryParseDecimal(text);
  return seconds === undefined
    ? createUnreadableNotice(text)
    : { kind: "backoff", milliseconds: seconds * 1000 };
}

/** Returns the value of a header; the values of a repeated header are joined. */
export function tryGetHeader(
  headers: readonly Header[],
  headerName: string,
): string | undefined {
  const values = headers.filter(([name]) => name === headerName);
  if (values.length === 0) return undefined;
  return values.map(([, value]) => value).join(", ");
}

/** Parses a decimal number without sign or exponent. */
export function tryParseDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}

/** Creates an unreadable notice with a truncated copy of the text for the log. */
export function createUnreadableNotice(text: string): UnreadableNotice {
  return { kind: "unreadable", text: text.slice(0, MAX_UNREADABLE_LENGTH) };
}
