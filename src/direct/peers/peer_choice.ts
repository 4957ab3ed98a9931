/**
 * Chooses the entries that an entry queries in place of the store.
 *
 * @module
 */
import type { RandomSource } from "../../core/random_source.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/**
 * Maximum number of entries queried in one round. The store may reject a third of the VMs
 * at once; then all four of a round are rejected once in a hundred rounds, and the next
 * round queries others.
 */
export const PEERS_PER_ROUND = 4;

/** The other entries known to this one. */
export interface PeerCandidates {
  /** Addresses from the list of processes; empty until it was first read. */
  readonly listed: readonly SocketAddress[];
  /** Addresses from the process settings, which may be out of date. */
  readonly seeds: readonly SocketAddress[];
  readonly ownAddress: SocketAddress;
}

/**
 * Chooses the entries to query at random. Seeds are added if the list is too short.
 *
 * @example
 * ```ts
 * const peers = choosePeers({ listed, seeds: [], ownAddress }, random);
 * ```
 */
export function choosePeers(
  { listed, seeds, ownAddress }: PeerCandidates,
  random: RandomSource,
): readonly SocketAddress[] {
  const isOther = (address: SocketAddress) => address !== ownAddress;
  const chosen = sampleAddresses(listed.filter(isOther), random);
  const extra = seeds.filter(isOther).filter((one) => !chosen.includes(one));
  return [...chosen, ...extra].slice(0, PEERS_PER_ROUND);
}

function sampleAddresses(
  addresses: readonly SocketAddress[],
  random: RandomSource,
): readonly SocketAddress[] {
  const left = [...addresses];
  const sample: SocketAddress[] = [];
  while (left.length > 0 && sample.length < PEERS_PER_ROUND) {
    sample.push(...left.splice(random.nextBelow(left.length), 1));
  }
  return sample;
}

/** An entry as registered in the store. */
export interface ListedEntry {
  readonly name: string;
  readonly address: SocketAddress;
  readonly failureDomain: string;
}

/** The entries that may read the store for one entry. */
export interface ReaderCandidates {
  /** Host and port of each candidate, in order of preference. */
  readonly addresses: readonly SocketAddress[];
  /**
   * Whether the entry is the first of its failure domain, which the others there query.
   */
  readonly isFirstOfDomain: boolean;
}

/**
 * Returns the entries that may read the store for `self`: those of its failure domain
 * that precede it by name, then the first entry of each failure domain that precedes its
 * own. So no two entries query each other, and the first of all entries has no
 * candidates.
 *
 * @example
 * ```ts
 * readerPolicy.setCandidates(listReaderCandidates(entries, self));
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
    isFirstOfDomain: near.length === 0,
  };
}
