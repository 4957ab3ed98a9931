/**
 * Revisions of a store that may be restored from an older copy. The store then assigns
 * revisions again, so two of its revisions are comparable only within one era. A
 * revision in this module is one number that includes the era; a later era is higher.
 *
 * @module
 */

/** Revisions per era; 2^13 eras fit into a safe integer. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Highest era that can be represented. */
export const MAX_ERA = 2 ** 13 - 1;

/** A revision of the store and its era. */
export interface RevisionInEra {
  /** How often the store was restored from an older copy. */
  readonly era: number;
  readonly revision: number;
}

/**
 * Combines a revision and its era into one number.
 *
 * @example
 * ```ts
 * joinRevision({ era: 2, revision: 1 }) > joinRevision({ era: 1, revision: 9 }); // true
 * ```
 */
export function joinRevision({ era, revision }: RevisionInEra): number {
  return era * REVISIONS_PER_ERA + revision;
}

/**
 * Splits a number of {@link joinRevision} into the era and the store's revision.
 *
 * @example
 * ```ts
 * splitRevision(joinRevision({ era: 2, revision: 7 })).era; // 2
 * ```
 */
export function splitRevision(joined: number): RevisionInEra {
  const revision = joined % REVISIONS_PER_ERA;
  return { era: (joined - revision) / REVISIONS_PER_ERA, revision };
}
