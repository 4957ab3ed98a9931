/**
 * The failure domains that operators drain, as far as the platform's store told. Decides
 * only; times and what the store said come in.
 *
 * The set that the store holds and the one in force differ for a while after the store came
 * back from an older copy: operators soon write again what it lost. Other entries are told
 * the set that the store holds, and each decides by itself what stays in force.
 *
 * @module
 */
import type { DrainSet } from "../messages/peer_types.ts";
import { splitRevision } from "../external/store_revision.ts";

/** What a newer set changed. */
export interface DrainsTaken {
  /** Drains that the store lost and that stay in force for now. */
  readonly kept: readonly string[];
}

/** Milliseconds for which a drain stays in force that a store back from a copy lacks. */
export const KEPT_MS = 2500;

/** The failure domains that operators drain. */
export class DrainedDomains {
  #stored: DrainSet | undefined;
  /** Until when drains that the store lost are in force, in milliseconds. */
  readonly #keptUntil = new Map<string, number>();

  /** The set that the store holds, as last heard; undefined before any was. */
  get stored(): DrainSet | undefined {
    return this.#stored;
  }

  /** The failure domains that are drained now, in alphabetical order. */
  listInForce(now: number): readonly string[] {
    const kept = [...this.#keptUntil]
      .filter(([, until]) => until > now)
      .map(([failureDomain]) => failureDomain);
    return sortNames([...this.#stored?.failureDomains ?? [], ...kept]);
  }

  /** When the next drain ends that the store lost, in milliseconds, if any is kept. */
  get nextEnd(): number | undefined {
    const ends = [...this.#keptUntil.values()];
    return ends.length === 0 ? undefined : Math.min(...ends);
  }

  /**
   * Takes in the set of a revision; undefined when a newer one is known.
   *
   * @example
   * ```ts
   * drains.take({ revision: 7, failureDomains: ["a"] }, performance.now());
   * ```
   */
  take(set: DrainSet, now: number): DrainsTaken | undefined {
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
    const hasGoneBack = before !== undefined &&
      eraOf(set.revision) > eraOf(before.revision);
    const kept = hasGoneBack
      ? inForce.filter((name) => !failureDomains.includes(name))
      : [];
    for (const name of kept) this.#keptUntil.set(name, now + KEPT_MS);
    this.#stored = { revision: set.revision, failureDomains };
    return { kept };
  }

  /** Operators removed the drain since the store came back from a copy. */
  endKept(failureDomain: string): void {
    this.#keptUntil.delete(failureDomain);
  }
}

/**
 * Whether two sets in alphabetical order hold the same failure domains.
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
