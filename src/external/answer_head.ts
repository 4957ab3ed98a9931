/**
 * What the client library accepts in the head of an answer, although it is no answer by
 * the protocol or its body can't be read.
 *
 * @module
 */
import type { AnswerHeaders } from "./http_connections.ts";

/** The statuses that HTTP defines (RFC 9110, section 15), of final answers. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
/** The only transfer coding that the client library decodes. */
const CHUNKED = "chunked";

/**
 * Returns whether the head of a final answer has a status that HTTP defines, and a body
 * that can be read.
 *
 * The client library reads a body with other transfer codings until the connection is
 * closed, and passes on the coded bytes. No request offers such codings.
 *
 * @example
 * ```ts
 * isReadableHead(200, { "transfer-encoding": "chunked" }); // true
 * isReadableHead(200, { "transfer-encoding": "gzip, chunked" }); // false
 * ```
 */
export function isReadableHead(
  status: number,
  headers: AnswerHeaders,
): boolean {
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) return false;
  const codings = headers["transfer-encoding"];
  if (codings === undefined) return true;
  return String(codings).trim().toLowerCase() === CHUNKED;
}
