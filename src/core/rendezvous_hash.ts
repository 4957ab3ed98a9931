/**
 * Rendezvous hashing: ranks pairs of names, so that processes make the same choice
 * without communicating, and a candidate that is added or removed changes few other
 * choices.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Returns the rank of a candidate for a chooser; the lowest rank is preferred.
 *
 * @example
 * ```ts
 * const rank = getRendezvousRank("entry-1", "target-7");
 * ```
 */
export function getRendezvousRank(chooser: string, candidate: string): string {
  return createHash("sha1").update(`${chooser}\n${candidate}`).digest("hex");
}
