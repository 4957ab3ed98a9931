/**
 * Which headers callers use to say what they want beside HTTP itself.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { endToEndHeadersOf } from "../messages/http_headers.ts";
import { MAX_KEY_LENGTH } from "../core/idempotency_key.ts";
import { tryReadPriority } from "../messages/priority.ts";
import type { Header } from "../messages/types.ts";
import { prefixBlocksOf } from "../policy/prefix_index.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { CallerRequest } from "./types.ts";

/** What a caller says in the headers of a request. */
export type CallerFacts = Pick<
  CallerRequest,
  | "headers"
  | "deadlineMs"
  | "accessKeySha256"
  | "correlationId"
  | "idempotencyKey"
  | "priority"
  | "prefixBlocks"
>;

/** Which headers callers use. */
export abstract class CallerProtocol {
  /** Reads the headers of a request. */
  abstract read(
    headers: IncomingHttpHeaders,
    body: Uint8Array,
  ): Result<CallerFacts, RefusalName>;

  /** Headers that a refusal repeats from the request. */
  abstract refusalHeaders(headers: IncomingHttpHeaders): readonly Header[];
}

/** Header with the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = "lagoonwharf-deadline-ms";
/** Header with the caller's priority. */
export const PRIORITY_HEADER = "lagoonwharf-priority";

/** The product's own headers. */
export class OwnCallerProtocol extends CallerProtocol {
  override read(
    headers: IncomingHttpHeaders,
    body: Uint8Array,
  ): Result<CallerFacts, RefusalName> {
    const deadline = readDeadline(headers[DEADLINE_HEADER]);
    if (deadline.isErr()) return deadline;
    const key = singleOf(headers["idempotency-key"]);
    if (key !== undefined && !isUsableKey(key)) {
      return Err("BAD_IDEMPOTENCY_KEY");
    }
    const named = singleOf(headers[PRIORITY_HEADER]);
    const priority = named === undefined ? undefined : tryReadPriority(named);
    if (named !== undefined && priority === undefined) {
      return Err("BAD_PRIORITY");
    }
    return Ok({
      headers: endToEndHeadersOf(headers),
      deadlineMs: deadline.value,
      idempotencyKey: key,
      priority,
      prefixBlocks: prefixBlocksOf(body),
    });
  }

  override refusalHeaders(): readonly Header[] {
    return [];
  }
}

/**
 * Reads a header with a whole number of milliseconds.
 *
 * @example
 * ```ts
 * readDeadline("250").unwrap(); // 250
 * ```
 */
export function readDeadline(
  value: string | string[] | undefined,
): Result<number | undefined, RefusalName> {
  const text = singleOf(value);
  if (text === undefined) return Ok(undefined);
  const isNumber = /^\d{1,9}$/.test(text) && Number(text) > 0;
  return isNumber ? Ok(Number(text)) : Err("BAD_DEADLINE");
}

/** One value of a header that may come several times. */
export function singleOf(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value.join(", ") : value;
}

function isUsableKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH;
}
