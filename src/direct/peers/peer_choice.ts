/**
 * Which entries an entry asks when the store does not answer it.
 *
 * @module
 */
import type { RandomSource } from "../../core/random_source.ts";

/**
 * Entries asked in one round. The store may turn away a third of the machines at
 * once: all four of a round are among them once in a hundred rounds, and the next
 * round asks others.
 */
export const PEERS_IN_ROUND = 4;

/** What is known of the other entries. */
export interface PeerCandidates {
  /** Addresses from the list of processes; empty before it was ever read. */
  readonly listed: readonly string[];
  /** Addresses from the process settings, which may be out of date. */
  readonly seeds: readonly string[];
  readonly ownAddress: string;
}

/**
 * Draws the entries to ask. Seeds stand in for a list that is too short.
 *
 * @example
 * ```ts
 * const peers = choosePeers({ listed, seeds: [], ownAddress }, random);
 * ```
 */
export function choosePeers(
  { listed, seeds, ownAddress }: PeerCandidates,
  random: RandomSource,
): readonly string[] {
  const isOther = (address: string) => address !== ownAddress;
  const chosen = drawSome(listed.filter(isOther), random);
  const extra = seeds.filter(isOther).filter((one) => !chosen.includes(one));
  return [...chosen, ...extra].slice(0, PEERS_IN_ROUND);
}

function drawSome(
  addresses: readonly string[],
  random: RandomSource,
): readonly string[] {
  const left = [...addresses];
  const drawn: string[] = [];
  while (left.length > 0 && drawn.length < PEERS_IN_ROUND) {
    drawn.push(...left.splice(random.nextBelow(left.length), 1));
  }
  return drawn;
}

/** An entry as it lists itself in the store. */
export interface ListedEntry {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
}

/**
 * The entry that reads the list of back ends for its failure domain: all choose
 * the same one while they know of the same entries. Undefined for that entry
 * itself and where it is not listed.
 *
 * @example
 * ```ts
 * const reader = tryChooseReader(entries, self);
 * ```
 */
export function tryChooseReader(
  entries: readonly ListedEntry[],
  self: ListedEntry,
): ListedEntry | undefined {
  const near = entries.filter((one) =>
    one.failureDomain === self.failureDomain
  );
  const first = near.reduce<ListedEntry | undefined>(
    (best, one) => best === undefined || one.name < best.name ? one : best,
    undefined,
  );
  return first?.name === self.name ? undefined : first;
}
