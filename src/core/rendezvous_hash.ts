/**
 * Rendezvous hashing: ranks pairs of names so that processes agree on a choice without
 * asking each other, and one that comes or goes changes little else.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Rank of a candidate for a chooser; the lowest comes first.
 *
 * @example
 * ```ts
 * const rank = getRendezvousRank("entry-1", "target-7");
 * ```
 */
export function getRendezvousRank(chooser: string, candidate: string): string {
  return createHash("sha1").update(`${chooser}\n${candidate}`).digest("hex");
}
