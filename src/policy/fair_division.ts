/**
 * Divides what can be admitted between organisations: those that ask for less than their
 * fair share get all, and the others get equal amounts for their weight.
 *
 * @module
 */

/** What one organisation asks for. */
export interface OrganisationDemand {
  readonly requests: number;
  /** Share against other organisations. */
  readonly weight: number;
}

/** How much can be admitted. */
export interface DivisionFacts {
  /** Part of all requests that is admitted, 0 to 1. */
  readonly part: number;
  /** Part of its requests that each organisation is admitted with at least. */
  readonly leastPart: number;
}

/** Halvings until the level is exact enough: below a thousandth of a request. */
const HALVINGS = 24;

/**
 * Part of its requests that each organisation is admitted with, by its name.
 *
 * @example
 * ```ts
 * const demands = new Map([
 *   ["large", { requests: 90, weight: 1 }],
 *   ["small", { requests: 10, weight: 1 }],
 * ]);
 * divideByWeight(demands, { part: 0.5, leastPart: 0.25 }); // large: 0.44, small: 1
 * ```
 */
export function divideByWeight(
  demands: ReadonlyMap<string, OrganisationDemand>,
  facts: DivisionFacts,
): ReadonlyMap<string, number> {
  const rows = [...demands.values()];
  const all = rows.reduce((sum, { requests }) => sum + requests, 0);
  const wanted = facts.part * all;
  let low = 0;
  let high = Math.max(
    0,
    ...rows.map(({ requests, weight }) => requests / weight),
  );
  for (let halving = 0; halving < HALVINGS; halving++) {
    const level = (low + high) / 2;
    const admitted = rows.reduce(
      (sum, row) => sum + row.requests * getPart(row, level, facts),
      0,
    );
    if (admitted < wanted) low = level;
    else high = level;
  }
  return new Map(
    [...demands].map(([name, row]) => [name, getPart(row, high, facts)]),
  );
}

function getPart(
  { requests, weight }: OrganisationDemand,
  level: number,
  { leastPart }: DivisionFacts,
): number {
  return Math.max(leastPart, Math.min(1, level * weight / requests));
}
