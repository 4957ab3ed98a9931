/**
 * Chooses the targets of a large pool that an entry connects to, so that neither side
 * holds more connections than it needs.
 *
 * @module
 */
import { getRendezvousRank } from "../core/rendezvous_hash.ts";

/** The properties of a target on which the choice depends. */
export interface Candidate {
  readonly name: string;
  readonly pool: string;
  readonly failureDomain: string;
}

/** Options of a choice. */
export interface SubsetOptions {
  readonly entryName: string;
  readonly failureDomain: string;
  /** Maximum number of targets of one pool; smaller pools are chosen whole. */
  readonly limit: number;
}

/** Share of the limit reserved for the entry's own failure domain. */
const NEAR_SHARE = 0.75;

/**
 * Chooses by rendezvous hashing of entry and target: entries choose differently, targets
 * are chosen about equally often, and a target that is added or removed changes the
 * choice only by itself and at most one other.
 *
 * @example
 * ```ts
 * const dialled = chooseSubset(targets, { entryName, failureDomain, limit });
 * ```
 */
export function chooseSubset<T extends Candidate>(
  candidates: readonly T[],
  options: SubsetOptions,
): readonly T[] {
  const pools = new Map<string, T[]>();
  for (const candidate of candidates) {
    const pool = pools.get(candidate.pool) ?? [];
    pool.push(candidate);
    pools.set(candidate.pool, pool);
  }
  return [...pools.values()].flatMap((pool) => chooseFromPool(pool, options));
}

function chooseFromPool<T extends Candidate>(
  pool: readonly T[],
  options: SubsetOptions,
): readonly T[] {
  if (pool.length <= options.limit) return pool;
  const ranked = pool
    .map((candidate) => ({
      candidate,
      rank: getRendezvousRank(options.entryName, candidate.name),
    }))
    .sort((left, right) => left.rank < right.rank ? -1 : 1)
    .map(({ candidate }) => candidate);
  const near = ranked
    .filter((candidate) => candidate.failureDomain === options.failureDomain)
    .slice(0, Math.floor(options.limit * NEAR_SHARE));
  const chosen = new Set(near);
  for (const candidate of ranked) {
    if (chosen.size >= options.limit) break;
    chosen.add(candidate);
  }
  return [...chosen];
}
