/**
 * Creates and verifies the proof that a process belongs to the deployment: a keyed hash
 * (HMAC) over both nonces, so that a proof cannot be replayed on another connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const NONCE_BYTES = 16;

/** Data that a proof authenticates. */
export interface ProofInput {
  readonly secret: string;
  /**
   * Side that creates the proof; included so that a proof cannot be reflected to its
   * sender.
   */
  readonly side: "dialling" | "dialled";
  readonly deployment: string;
  readonly name: string;
  readonly incarnation: string;
  /** Nonces of the dialled side and the dialling side, in that order. */
  readonly nonces: readonly [string, string];
}

/** Creates a random nonce. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/**
 * Creates the proof of one side.
 *
 * @example
 * ```ts
 * const proof = createProof({ secret, side: "dialled", ...identity, nonces });
 * ```
 */
export function createProof(input: ProofInput): string {
  const signed = [
    input.side,
    input.deployment,
    input.name,
    input.incarnation,
    ...input.nonces,
  ];
  return createHmac("sha256", input.secret)
    .update(JSON.stringify(signed))
    .digest("hex");
}

/**
 * Returns whether `proof` is the proof of `input`. The comparison takes constant time
 * for proofs of the right length.
 *
 * @example
 * ```ts
 * if (!isValidProof(hello.proof, input)) close("WRONG_PROOF");
 * ```
 */
export function isValidProof(proof: string, input: ProofInput): boolean {
  const expected = Buffer.from(createProof(input));
  const actual = Buffer.from(proof);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
