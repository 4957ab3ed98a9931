/**
 * Computes digests that identify repetitions of a request, whatever their ids are.
 *
 * @module
 */
import { createHmac } from "node:crypto";
import type { CallerRequest } from "./types.ts";

/** Length of a digest: two of a million requests collide with a probability of 10^-17. */
const DIGEST_BYTES = 12;

/** Inputs of the digest that are not part of the caller's request. */
export interface DigestScope {
  /** Secret of the deployment; keeps others from guessing a request by its digest. */
  readonly key: string;
  /** Organisation of the caller; digests of different organisations always differ. */
  readonly organisation: string;
}

/**
 * Computes the digest of a request from its organisation, method, host, path and body.
 * The id, the access key and all other headers have no influence.
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
