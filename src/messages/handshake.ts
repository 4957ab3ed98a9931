/**
 * Proof that a process belongs to the deployment: a keyed hash over both
 * nonces, so that a recorded proof is worth nothing on another connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const NONCE_BYTES = 16;

/** What a proof is made over. */
export interface ProofInput {
  readonly secret: string;
  /** Which side proves, so that a proof cannot be sent back as one's own. */
  readonly side: "dialling" | "dialled";
  readonly deployment: string;
  readonly name: string;
  readonly incarnation: string;
  /** Nonces of the dialled side and the dialling side, in that order. */
  readonly nonces: readonly [string, string];
}

/** A fresh nonce. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/**
 * Makes the proof of one side.
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
 * Whether `proof` is the one that `input` asks for; takes the same time for
 * every wrong proof.
 *
 * @example
 * ```ts
 * if (!isProofOf(hello.proof, input)) close("WRONG_PROOF");
 * ```
 */
export function isProofOf(proof: string, input: ProofInput): boolean {
  const expected = Buffer.from(createProof(input));
  const actual = Buffer.from(proof);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
