/**
 * Idempotency keys: which slot owns a key, and how old a key can be.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** Slots into which the keys of a pool fall. */
export const SLOT_COUNT = 64;

/** Longest key that is taken, in characters. */
export const MAX_KEY_LENGTH = 255;

const VERSION_7_PATTERN =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const FINGERPRINT_BYTES = 16;

/** Whose key it is. Keys of different organisations never meet. */
export interface KeyScope {
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** Identifies a key within the deployment, whatever its length. */
export function fingerprintOf(scope: KeyScope): string {
  return createHash("sha256")
    .update(
      JSON.stringify([
        scope.organisation,
        scope.service,
        scope.idempotencyKey,
      ]),
    )
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString("base64");
}

/** The slot that a fingerprint falls into. */
export function slotOf(fingerprint: string): number {
  return Buffer.from(fingerprint, "base64").readUInt32BE(0) % SLOT_COUNT;
}

/** What makes two requests the same request. */
export interface RequestIdentity {
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** Identifies a request, so that a key used for another one is noticed. */
export function requestHashOf(request: RequestIdentity): string {
  return createHash("sha256")
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("base64");
}

/**
 * Wall-clock milliseconds at which a UUID of version 7 was made; undefined for
 * any other key.
 *
 * @example
 * ```ts
 * tryTimeOfKey("0190163d-8694-739b-aea5-966c26f8ad91"); // 1718438471316
 * ```
 */
export function tryTimeOfKey(key: string): number | undefined {
  if (!VERSION_7_PATTERN.test(key)) return undefined;
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}
