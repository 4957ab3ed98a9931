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
import type { BackEndInstance } from "../external/back_end_directory.ts";

/** A back end with the revision of the store at which its entry came to be. */
export interface ListedInstance {
  readonly instance: BackEndInstance;
  readonly createdRevision: number;
}

/**
 * All instances, those as leaving whose address a later entry has. The time at which an
 * entry came to be decides and not its last change: a heartbeat of the one before may
 * arrive late.
 *
 * @example
 * ```ts
 * const instances = markSuperseded(listed);
 * ```
 */
export function markSuperseded(
  listed: readonly ListedInstance[],
): readonly BackEndInstance[] {
  const newest = new Map<string, number>();
  for (const { instance, createdRevision } of listed) {
    const known = newest.get(instance.address) ?? createdRevision;
    newest.set(instance.address, Math.max(known, createdRevision));
  }
  return listed.map(({ instance, createdRevision }) =>
    createdRevision === newest.get(instance.address)
      ? instance
      : { ...instance, state: "leaving" }
  );
}
