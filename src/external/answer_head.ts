/**
 * What the client library accepts in the head of an answer, although its body can't be
 * read.
 *
 * @module
 */
import type { AnswerHeaders } from "./http_connections.ts";

/** The only transfer coding that the client library decodes. */
const CHUNKED = "chunked";

/**
 * Returns whether the body of an answer with this head can be read.
 *
 * The client library reads a body with other transfer codings until the connection is
 * closed, and passes on the coded bytes. No request offers such codings.
 *
 * @example
 * ```ts
 * isReadableHead({ "transfer-encoding": "chunked" }); // true
 * isReadableHead({ "transfer-encoding": "gzip, chunked" }); // false
 * ```
 */
export function isReadableHead(headers: AnswerHeaders): boolean {
  const codings = headers["transfer-encoding"];
  if (codings === undefined) return true;
  return String(codings).trim().toLowerCase() === CHUNKED;
}
