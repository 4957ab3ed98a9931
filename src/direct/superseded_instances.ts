/**
 * Tells which listed back ends another one has taken the place of.
 *
 * The pattern: machines lose power and their back ends start anew at the same addresses,
 * while the entries of those before lapse only seconds later. Two of a kind are listed
 * then, and half of the requests go to incarnations that are gone: each costs an attempt
 * and a part of the retries that the pool may get.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";

/** A back end with the revision of the store at which its entry came to be. */
export interface ListedInstance {
  readonly instance: BackEndInstance;
  readonly createdRevision: number;
}

/**
 * All instances, those as leaving whose address a later entry has. The time at which an
 * entry came to be decides and not its last change: a heartbeat of the one before may
 * arrive late. An entry of a pool that nobody knows may come from anyone, and takes no
 * place; `isKnownPool` tells which pools there are.
 *
 * @example
 * ```ts
 * const instances = markSuperseded(listed, (pool) => pools.has(pool));
 * ```
 */
export function markSuperseded(
  listed: readonly ListedInstance[],
  isKnownPool: (pool: string) => boolean,
): readonly BackEndInstance[] {
  const newest = new Map<string, number>();
  for (const { instance, createdRevision } of listed) {
    if (!isKnownPool(instance.pool)) continue;
    const known = newest.get(instance.address) ?? createdRevision;
    newest.set(instance.address, Math.max(known, createdRevision));
  }
  return listed.map(({ instance, createdRevision }) =>
    createdRevision >= (newest.get(instance.address) ?? createdRevision)
      ? instance
      : { ...instance, state: "leaving" }
  );
}
