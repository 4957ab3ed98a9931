/**
 * Chooses the targets of a large pool that an entry connects to, so that neither side
 * holds more connections than it needs.
 *
 * @module
 */
import { getRendezvousRank } from "../core/rendezvous_hash.ts";

/** The properties of a target on which the choice depends. */
export interface SubsetCandidate {
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
 * const dialled = chooseSubset(machines, { entryName, failureDomain, limit });
 * ```
 */
export function chooseSubset<T extends SubsetCandidate>(
  machines: readonly T[],
  options: SubsetOptions,
): readonly T[] {
  const pools = new Map<string, T[]>();
  for (const machine of machines) {
    const pool = pools.get(machine.pool) ?? [];
    pool.push(machine);
    pools.set(machine.pool, pool);
  }
  return [...pools.values()].flatMap((pool) => chooseOfPool(pool, options));
}

function chooseOfPool<T extends SubsetCandidate>(
  pool: readonly T[],
  options: SubsetOptions,
): readonly T[] {
  if (pool.length <= options.limit) return pool;
  const ranked = pool
    .map((machine) => ({
      machine,
      rank: getRendezvousRank(options.entryName, machine.name),
    }))
    .sort((left, right) => left.rank < right.rank ? -1 : 1)
    .map(({ machine }) => machine);
  const near = ranked
    .filter((machine) => machine.failureDomain === options.failureDomain)
    .slice(0, Math.floor(options.limit * NEAR_SHARE));
  const chosen = new Set(near);
  for (const machine of ranked) {
    if (chosen.size >= options.limit) break;
    chosen.add(machine);
  }
  return [...chosen];
}
