/**
 * Tracks the failure domains that operators drain, as read from the platform's store.
 * Makes decisions only; the caller passes in times and the data of the store.
 *
 * The stored set and the drains in force may differ for a while after the store was
 * restored from an older copy, because operators usually write the lost drains again.
 * Other entries receive the stored set, and each decides on its own which drains stay in
 * force.
 *
 * @module
 */
import type { DrainSet } from "../messages/peer_types.ts";
import { splitRevision } from "../external/store_revision.ts";

/** The result of applying a newer set. */
export interface AppliedDrains {
  /** Drains that the store lost and that stay in force for now. */
  readonly kept: readonly string[];
}

/**
 * Milliseconds for which a drain stays in force when it is missing after a restore of the
 * store.
 */
export const KEEP_LOST_MS = 2500;

/** The failure domains that operators drain. */
export class DrainedDomains {
  #stored: DrainSet | undefined;
  /** Until when drains that the store lost stay in force, in milliseconds. */
  readonly #keptUntil = new Map<string, number>();

  /** The last known set in the store; undefined before one was received. */
  get stored(): DrainSet | undefined {
    return this.#stored;
  }

  /** The failure domains drained at time `now`, in alphabetical order. */
  listInForce(now: number): readonly string[] {
    const kept = [...this.#keptUntil]
      .filter(([, until]) => until > now)
      .map(([failureDomain]) => failureDomain);
    return sortNames([...this.#stored?.failureDomains ?? [], ...kept]);
  }

  /** When the next kept drain expires, in milliseconds; undefined if none is kept. */
  get nextExpiry(): number | undefined {
    const ends = [...this.#keptUntil.values()];
    return ends.length === 0 ? undefined : Math.min(...ends);
  }

  /**
   * Applies the set of a revision. Returns undefined when a newer one is already known.
   *
   * @example
   * ```ts
   * drains.apply({ revision: 7, failureDomains: ["a"] }, performance.now());
   * ```
   */
  apply(set: DrainSet, now: number): AppliedDrains | undefined {
    const before = this.#stored;
    if (before !== undefined && set.revision < before.revision) {
      return undefined;
    }
    const inForce = this.listInForce(now);
    const failureDomains = sortNames(set.failureDomains);
    for (const [name, until] of this.#keptUntil) {
      const isOver = until <= now || failureDomains.includes(name);
      if (isOver) this.#keptUntil.delete(name);
    }
    const isRestored = before !== undefined &&
      eraOf(set.revision) > eraOf(before.revision);
    const kept = isRestored
      ? inForce.filter((name) => !failureDomains.includes(name))
      : [];
    for (const name of kept) this.#keptUntil.set(name, now + KEEP_LOST_MS);
    this.#stored = { revision: set.revision, failureDomains };
    return { kept };
  }

  /** Drops a kept drain because operators removed it after the restore of the store. */
  dropKept(failureDomain: string): void {
    this.#keptUntil.delete(failureDomain);
  }
}

/**
 * Whether two alphabetically sorted lists contain the same failure domains.
 *
 * @example
 * ```ts
 * areSame(["a", "b"], ["a", "b"]); // true
 * ```
 */
export function areSame(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return left.length === right.length &&
    left.every((name, index) => name === right[index]);
}

function sortNames(names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort();
}

function eraOf(revision: number): number {
  return splitRevision(revision).era;
}
