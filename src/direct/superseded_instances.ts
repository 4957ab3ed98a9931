/**
 * Detects listed back ends that were replaced by another one.
 *
 * When VMs lose power, their back ends restart at the same addresses, but the
 * registrations of the old incarnations expire only seconds later. Until then both are
 * listed, and half of the requests go to incarnations that no longer exist. Each of these
 * requests costs an attempt and a share of the pool's retries.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";

/** A back end with the revision of the store at which its registration was created. */
export interface ListedInstance {
  readonly instance: BackEndInstance;
  readonly createdRevision: number;
}

/**
 * Returns all instances, and marks those as leaving whose address has a newer
 * registration. The creation revision decides and not the last change, because a
 * heartbeat of the old incarnation may arrive late. A registration of an unknown pool may
 * come from anyone, so it does not replace another one; `isKnownPool` returns whether a
 * pool exists.
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
