/**
 * Forwards requests unchanged to the old scripts.
 *
 * @module
 */
import { request as call } from "undici";
import {
  getEndToEndHeaders,
  getForwardedHeaders,
} from "../messages/http_headers.ts";
import { createProblem } from "../refusals/problem.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { ForwardToScripts } from "./types.ts";

/** Error codes after which the scripts cannot have received the request. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Calls the scripts once, without retries, and relays their answer.
 *
 * @example
 * ```ts
 * await forwardToScripts(effect, connection);
 * ```
 */
export async function forwardToScripts(
  effect: ForwardToScripts,
  connection: CallerConnection,
): Promise<void> {
  const { request, address } = effect;
  const abort = new AbortController();
  connection.onClosed(() => abort.abort());
  try {
    const response = await call(`http://${address}${request.path}`, {
      method: request.method as "GET",
      headers: getForwardedHeaders(request.headers).flat(),
      body: request.body.length === 0 ? null : request.body,
      headersTimeout: effect.deadlineMs,
      bodyTimeout: effect.deadlineMs,
      signal: abort.signal,
    });
    connection.start(response.statusCode, getEndToEndHeaders(response.headers));
    for await (const chunk of response.body) {
      if (!connection.write(chunk)) throw new Error("The caller is too slow");
    }
    connection.finish();
  } catch (error) {
    const code = (error as { readonly code?: string }).code ?? "";
    const submission = NOT_SENT_CODES.has(code) ? "not-run" : "unknown";
    const isKeyed = request.idempotencyKey !== undefined;
    connection.refuse(createProblem("SCRIPTS_UNREACHABLE", {
      outcome: isKeyed ? "unknown" : submission,
      submission,
    }));
  }
}
