/**
 * Divides the admitted requests among organisations by max-min fairness: organisations
 * that request less than their fair share are admitted in full, and the others get equal
 * amounts by weight.
 *
 * @module
 */

/** The demand of one organisation. */
export interface OrganisationDemand {
  readonly requests: number;
  /** Weight relative to other organisations. */
  readonly weight: number;
}

/** Bounds of a division. */
export interface DivisionFacts {
  /** Fraction of all requests that is admitted, from 0 to 1. */
  readonly part: number;
  /** Minimum admitted fraction of each organisation's requests. */
  readonly leastPart: number;
}

/** Bisection steps, enough for a precision of a thousandth of a request. */
const HALVINGS = 24;

/**
 * Returns the admitted fraction of each organisation's requests, by name.
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
