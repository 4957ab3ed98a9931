/**
 * Fingerprints, slots and creation times of idempotency keys.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** Slots into which the keys of a pool are hashed. */
export const SLOT_COUNT = 64;

/** Longest key that is accepted, in characters. */
export const MAX_KEY_LENGTH = 255;

const VERSION_7_PATTERN =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const FINGERPRINT_BYTES = 16;

/**
 * The namespace of a key: equal keys of different organisations or services are
 * distinct.
 */
export interface KeyScope {
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** Returns a hash of fixed length that identifies a key within the deployment. */
export function getKeyFingerprint(scope: KeyScope): string {
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

/** Returns the slot that a fingerprint belongs to. */
export function getKeySlot(fingerprint: string): number {
  return Buffer.from(fingerprint, "base64").readUInt32BE(0) % SLOT_COUNT;
}

/** The fields that identify a request: two requests are the same if these are equal. */
export interface RequestIdentity {
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Returns a hash of a request, by which the reuse of a key for another request is
 * detected.
 */
export function getRequestHash(request: RequestIdentity): string {
  return createHash("sha256")
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("base64");
}

/**
 * Returns the wall-clock milliseconds at which a version 7 UUID was created; undefined
 * for any other key.
 *
 * @example
 * ```ts
 * tryGetKeyTime("0190163d-8694-739b-aea5-966c26f8ad91"); // 1718438471316
 * ```
 */
export function tryGetKeyTime(key: string): number | undefined {
  if (!VERSION_7_PATTERN.test(key)) return undefined;
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}
