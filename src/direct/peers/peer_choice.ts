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

/** The entries that may read the store for one entry. */
export interface ReaderCandidates {
  /** Host and port of each, the best first. */
  readonly addresses: readonly string[];
  /** Whether the entry is the first of its failure domain, whom the others there ask. */
  readonly isFirst: boolean;
}

/**
 * The entries that may read the store for one entry: those of its failure domain that come
 * before it by name, then the first of each failure domain that comes before its own. So
 * nobody is asked by whom he asks, and the first of all asks nobody.
 *
 * @example
 * ```ts
 * turns.setCandidates(listReaderCandidates(entries, self));
 * ```
 */
export function listReaderCandidates(
  entries: readonly ListedEntry[],
  self: ListedEntry,
): ReaderCandidates {
  const sorted = [...entries].sort((left, right) =>
    left.name < right.name ? -1 : 1
  );
  const near = sorted.filter(({ failureDomain, name }) =>
    failureDomain === self.failureDomain && name < self.name
  );
  const firsts = new Map<string, ListedEntry>();
  for (const entry of sorted) {
    const { failureDomain } = entry;
    if (!firsts.has(failureDomain)) firsts.set(failureDomain, entry);
  }
  const remote = [...firsts.values()]
    .filter(({ failureDomain }) => failureDomain < self.failureDomain)
    .sort((left, right) => left.failureDomain < right.failureDomain ? -1 : 1);
  return {
    addresses: [...near, ...remote].map(({ address }) => address),
    isFirst: near.length === 0,
  };
}
