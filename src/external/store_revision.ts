/**
 * Revisions of a store that may come back from an older copy. It gives out revisions again
 * then, so two of them compare only within one era; a revision here is one number that also
 * holds the era, and a later era goes first.
 *
 * @module
 */

/** Revisions that fit into an era; 8,191 eras fit into a number then. */
const REVISIONS_IN_ERA = 2 ** 40;
/** The last era that fits. */
export const LAST_ERA = 2 ** 13 - 1;

/** A revision in the store's own words. */
export interface RevisionInEra {
  /** How often the store has come back from an older copy. */
  readonly era: number;
  readonly revision: number;
}

/**
 * One number for a revision of an era.
 *
 * @example
 * ```ts
 * joinRevision({ era: 2, revision: 1 }) > joinRevision({ era: 1, revision: 9 }); // true
 * ```
 */
export function joinRevision({ era, revision }: RevisionInEra): number {
  return era * REVISIONS_IN_ERA + revision;
}

/**
 * The era and the store's own revision of a number that {@link joinRevision} made.
 *
 * @example
 * ```ts
 * splitRevision(joinRevision({ era: 2, revision: 7 })).era; // 2
 * ```
 */
export function splitRevision(joined: number): RevisionInEra {
  const revision = joined % REVISIONS_IN_ERA;
  return { era: (joined - revision) / REVISIONS_IN_ERA, revision };
}
