/**
 * Tells whether two requests are the same one, sent again under another id.
 *
 * @module
 */
import { createHmac } from "node:crypto";
import type { CallerRequest } from "./types.ts";

/** Bytes that are kept: two of a million requests are alike once in 10^17 times. */
const DIGEST_BYTES = 12;

/** What makes two requests the same, beside what the caller sent. */
export interface DigestScope {
  /** Secret of the deployment: a digest tells nobody else what was asked. */
  readonly key: string;
  /** Whose request it is. Requests of different organisations are never the same. */
  readonly organisation: string;
}

/**
 * The digest of a request: the same for the same method, host, path, body and
 * organisation, whatever its id, access key and other headers are.
 *
 * @example
 * ```ts
 * digestRequest(request, { key: secret, organisation: "andamaq" });
 * ```
 */
export function digestRequest(
  { method, host, path, body }: CallerRequest,
  { key, organisation }: DigestScope,
): string {
  return createHmac("sha256", key)
    .update(JSON.stringify([organisation, method, host ?? "", path]))
    .update(body)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString("base64url");
}
