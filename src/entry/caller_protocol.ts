/**
 * Reads the headers in which callers send options of their requests.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { getEndToEndHeaders } from "../messages/http_headers.ts";
import { MAX_KEY_LENGTH } from "../core/idempotency_key.ts";
import { tryParsePriority } from "../messages/priority.ts";
import type { Header } from "../messages/types.ts";
import { hashPrefixBlocks } from "../policy/prefix_index.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { CallerRequest } from "./types.ts";

/** Fields of a request that come from its headers. */
export type CallerRequestFields = Pick<
  CallerRequest,
  | "headers"
  | "deadlineMs"
  | "accessKeySha256"
  | "correlationId"
  | "idempotencyKey"
  | "priority"
  | "prefixBlocks"
  | "promptParts"
>;

/** Defines the request headers that callers use. */
export abstract class CallerProtocol {
  /** Reads the headers of a request. */
  abstract read(
    headers: IncomingHttpHeaders,
    body: Uint8Array,
  ): Result<CallerRequestFields, RefusalName>;

  /** Returns the milliseconds that the caller waits; undefined if it names none. */
  abstract getDeadlineMs(headers: IncomingHttpHeaders): number | undefined;

  /** Returns the request headers that a refusal repeats. */
  abstract refusalHeaders(headers: IncomingHttpHeaders): readonly Header[];
}

/** Request header with the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = "lagoonwharf-deadline-ms";
/** Request header with the caller's priority. */
export const PRIORITY_HEADER = "lagoonwharf-priority";

/** Reads the headers that lagoonwharf itself defines. */
export class OwnCallerProtocol extends CallerProtocol {
  override read(
    headers: IncomingHttpHeaders,
    body: Uint8Array,
  ): Result<CallerRequestFields, RefusalName> {
    const deadline = readDeadline(headers[DEADLINE_HEADER]);
    if (deadline.isErr()) return deadline;
    const key = joinHeaderValues(headers["idempotency-key"]);
    if (key !== undefined && !isValidKey(key)) {
      return Err("BAD_IDEMPOTENCY_KEY");
    }
    const text = joinHeaderValues(headers[PRIORITY_HEADER]);
    const priority = text === undefined ? undefined : tryParsePriority(text);
    if (text !== undefined && priority === undefined) {
      return Err("BAD_PRIORITY");
    }
    return Ok({
      headers: getEndToEndHeaders(headers),
      deadlineMs: deadline.value,
      idempotencyKey: key,
      priority,
      prefixBlocks: hashPrefixBlocks(body),
    });
  }

  override getDeadlineMs(headers: IncomingHttpHeaders): number | undefined {
    return readDeadline(headers[DEADLINE_HEADER]).unwrapOr(undefined);
  }

  override refusalHeaders(): readonly Header[] {
    return [];
  }
}

/**
 * Parses a header with an integer number of milliseconds.
 *
 * @example
 * ```ts
 * readDeadline("250").unwrap(); // 250
 * ```
 */
export function readDeadline(
  value: string | string[] | undefined,
): Result<number | undefined, RefusalName> {
  const text = joinHeaderValues(value);
  if (text === undefined) return Ok(undefined);
  const isNumber = /^\d{1,9}$/.test(text) && Number(text) > 0;
  return isNumber ? Ok(Number(text)) : Err("BAD_DEADLINE");
}

/** Joins the values of a header that occurs more than once. */
export function joinHeaderValues(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value.join(", ") : value;
}

function isValidKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH;
}
