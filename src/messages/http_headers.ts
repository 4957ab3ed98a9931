/**
 * HTTP headers: which are passed on, and in which shape (RFC 9110).
 *
 * @module
 */
import type { Header } from "./types.ts";

/** Headers that concern one connection only and are never passed on. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Headers of a client's own that are not passed to back ends. */
const NOT_FORWARDED: ReadonlySet<string> = new Set(["host", "content-length"]);

/**
 * End-to-end headers of an incoming message: without those that concern one
 * connection, or that its Connection header names.
 */
export function endToEndHeadersOf(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): readonly Header[] {
  const connection = headers["connection"];
  const named = new Set(
    String(connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    if (HOP_BY_HOP.has(name) || named.has(name)) return [];
    const values = typeof value === "string" ? [value] : value;
    return values.map((one): Header => [name, one]);
  });
}

/** Headers of a request that go to a back end. */
export function forwardedHeadersOf(
  headers: readonly Header[],
): readonly Header[] {
  return headers.filter(([name]) => !NOT_FORWARDED.has(name));
}
