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
export interface DivisionBounds {
  /** Fraction of all requests that is admitted, from 0 to 1. */
  readonly fraction: number;
  /** Minimum admitted fraction of each organisation's requests. */
  readonly minFraction: number;
}

/** Bisection steps, enough for a precision of a thousandth of a request. */
const BISECTION_STEPS = 24;

/**
 * Returns the admitted fraction of each organisation's requests, by name.
 *
 * @example
 * ```ts
 * const demands = new Map([
 *   ["large", { requests: 90, weight: 1 }],
 *   ["small", { requests: 10, weight: 1 }],
 * ]);
 * divideByWeight(demands, { fraction: 0.5, minFraction: 0.25 }); // large: 0.44, small: 1
 * ```
 */
export function divideByWeight(
  demands: ReadonlyMap<string, OrganisationDemand>,
  bounds: DivisionBounds,
): ReadonlyMap<string, number> {
  const demandList = [...demands.values()];
  const total = demandList.reduce((sum, { requests }) => sum + requests, 0);
  const target = bounds.fraction * total;
  let low = 0;
  let high = Math.max(
    0,
    ...demandList.map(({ requests, weight }) => requests / weight),
  );
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const level = (low + high) / 2;
    const admitted = demandList.reduce(
      (sum, demand) =>
        sum + demand.requests * getAdmittedFraction(demand, level, bounds),
      0,
    );
    if (admitted < target) low = level;
    else high = level;
  }
  return new Map(
    [...demands].map((
      [name, demand],
    ) => [name, getAdmittedFraction(demand, high, bounds)]),
  );
}

function getAdmittedFraction(
  { requests, weight }: OrganisationDemand,
  level: number,
  { minFraction }: DivisionBounds,
): number {
  return Math.max(minFraction, Math.min(1, level * weight / requests));
}
