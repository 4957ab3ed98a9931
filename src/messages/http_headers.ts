/**
 * Selects the HTTP headers that are forwarded (RFC 9110).
 *
 * @module
 */
import type { Header } from "./types.ts";

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** End-to-end headers of a request that are not forwarded to back ends. */
const NOT_FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  "host",
  "content-length",
]);

/**
 * Returns the end-to-end headers of a received message, which are all but the
 * hop-by-hop headers and the headers that its `Connection` header names.
 */
export function getEndToEndHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): readonly Header[] {
  const connection = headers["connection"];
  const connectionHeaders = new Set(
    String(connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    if (HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name)) return [];
    const values = typeof value === "string" ? [value] : value;
    return values.map((item): Header => [name, item]);
  });
}

/** Returns the headers of a request that are forwarded to a back end. */
export function getForwardedHeaders(
  headers: readonly Header[],
): readonly Header[] {
  return headers.filter(([name]) => !NOT_FORWARDED_HEADERS.has(name));
}
