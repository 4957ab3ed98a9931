/**
 * Decides which requests are deferred when a rank group is near its capacity.
 *
 * A burst of requests of one priority, the least urgent or the most urgent, can exceed
 * what a group processes in time. Without admission control the answers of all priorities
 * then pause for longer than callers accept, the most urgent ones included, and large
 * organisations take the capacity of small ones.
 *
 * All entries receive the same load report and defer the same fraction of arriving
 * requests, so no entry has to know the demand at the others. Each entry takes that
 * fraction from the least urgent priorities of its recent arrivals, and within a priority
 * from the organisations that send more than their fair share of it.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import { type Arrival, ArrivalMix } from "./arrival_mix.ts";
import { divideByWeight } from "./fair_division.ts";
import { getMaxRetryDelayMs } from "./waiting_rule.ts";

/**
 * Ratios of load to capacity: below the first no request is deferred, from the second on
 * every request that may be deferred is. Reports are some hundred milliseconds old, so
 * the load goes on rising for a while after deferral starts.
 */
const DEFERRAL_START_UTILIZATION = 0.7;
const FULL_DEFERRAL_UTILIZATION = 1;
/** Fraction of each priority that is always admitted, so that none is starved. */
const MIN_ADMITTED_FRACTION = 0.25;
/**
 * Fraction of a priority's admission rate that each organisation gets however much it
 * sends. Without it an organisation that sends half of a priority would hardly be served.
 */
const MIN_ORGANISATION_FACTOR = 0.5;
/** Lower bound of the retry delay, in milliseconds. */
const MIN_RETRY_DELAY_MS = 1000;
/** Fraction of the range of retry delays that is used however little is deferred. */
const MIN_SPREAD = 0.3;
/** Milliseconds for which computed fractions are reused. */
const FRACTIONS_CACHE_MS = 100;

/** The properties of a request that determine its deferral probability. */
export type AdmissionRequest = Pick<
  Arrival,
  "priority" | "organisation" | "weight"
>;

/** The conditions under which a request is admitted or deferred. */
export interface AdmissionContext {
  readonly now: number;
  /** Fraction of all arriving requests to defer, from 0 to 1. */
  readonly deferredFraction: number;
  /** Priorities named by the settings, most urgent first. */
  readonly knownPriorities: readonly Priority[];
}

interface DeferralFractions {
  readonly computedAt: number;
  readonly deferredFraction: number;
  readonly byPriority: ReadonlyMap<Priority, number>;
  /** Deferred fraction of each organisation's requests, by priority. */
  readonly byOrganisation: Map<Priority, ReadonlyMap<string, number>>;
}

/**
 * Returns the fraction of all arriving requests to defer at a load. Load and capacity are
 * in requests.
 *
 * @example
 * ```ts
 * getDeferredFraction({ load: 85, capacity: 100 }); // 0.5
 * ```
 */
export function getDeferredFraction(
  { load, capacity }: { readonly load: number; readonly capacity: number },
): number {
  const utilization = capacity > 0
    ? load / capacity
    : FULL_DEFERRAL_UTILIZATION;
  const fraction = (utilization - DEFERRAL_START_UTILIZATION) /
    (FULL_DEFERRAL_UTILIZATION - DEFERRAL_START_UTILIZATION);
  return Math.min(1, Math.max(0, fraction));
}

/**
 * Returns the load up to which nothing is deferred, in requests. Requests that wait are
 * sent up to this load: beyond it, they would be deferred anew.
 *
 * @example
 * ```ts
 * getUndeferredLoad(100); // 70
 * ```
 */
export function getUndeferredLoad(capacity: number): number {
  return DEFERRAL_START_UTILIZATION * capacity;
}

/** The input of {@link getDeferralRetryDelayMs}. */
export interface RetryDelayInput {
  /** Milliseconds until the request's deadline. */
  readonly leftMs: number;
  /** Fraction of all arriving requests that is deferred. */
  readonly deferredFraction: number;
  /** A random number in [0, 1) that spreads retries over time. */
  readonly randomFraction: number;
}

/**
 * Returns the milliseconds after which the caller of a deferred request should retry: at
 * least a second, at most a third of its remaining time, and longer the more is deferred.
 *
 * @example
 * ```ts
 * const input = { leftMs: 8000, deferredFraction: 1, randomFraction: 0.5 };
 * getDeferralRetryDelayMs(input); // 1803.3
 * ```
 */
export function getDeferralRetryDelayMs(
  { leftMs, deferredFraction, randomFraction }: RetryDelayInput,
): number {
  const maxDelayMs = getMaxRetryDelayMs(leftMs);
  const rangeMs = Math.max(0, maxDelayMs - MIN_RETRY_DELAY_MS);
  const fraction = MIN_SPREAD + (1 - MIN_SPREAD) * deferredFraction;
  return Math.min(
    maxDelayMs,
    MIN_RETRY_DELAY_MS + rangeMs * fraction * randomFraction,
  );
}

/** Decides which requests of one pool are deferred. */
export class AdmissionOrder {
  readonly #mix = new ArrivalMix();
  #fractions: DeferralFractions | undefined;

  /** Records an arriving request. */
  recordArrival(arrival: Arrival): void {
    this.#mix.record(arrival);
  }

  /**
   * Returns the probability, from 0 to 1, that a request with these properties is
   * deferred. Callers compare it with one random number for each request, so that
   * evaluating a request again gives the same result.
   *
   * @example
   * ```ts
   * const order = new AdmissionOrder();
   * const request = { priority: 7, organisation: "andamaq", weight: 1 };
   * const context = { now: 0, deferredFraction: 0.1, knownPriorities: [3, 5, 7] };
   * order.getDeferralProbability(request, context); // 0.1 / (1 / 3) = 0.3
   * ```
   */
  getDeferralProbability(
    request: AdmissionRequest,
    context: AdmissionContext,
  ): number {
    if (context.deferredFraction <= 0) return 0;
    const fractions = this.#getFractions(context);
    const { priority, organisation } = request;
    const deferred = fractions.byPriority.get(priority) ??
      getFractionOfUnknownPriority(priority, fractions.byPriority);
    if (deferred <= 0) return 0;
    let byOrganisation = fractions.byOrganisation.get(priority);
    if (byOrganisation === undefined) {
      byOrganisation = this.#divideAmongOrganisations(priority, deferred);
      fractions.byOrganisation.set(priority, byOrganisation);
    }
    return byOrganisation.get(organisation) ?? deferred;
  }

  #getFractions(
    { now, deferredFraction, knownPriorities }: AdmissionContext,
  ): DeferralFractions {
    const { computedAt, deferredFraction: previousFraction } =
      this.#fractions ??
        { computedAt: 0, deferredFraction: -1 };
    const isCurrent = previousFraction === deferredFraction &&
      now - computedAt < FRACTIONS_CACHE_MS;
    if (this.#fractions !== undefined && isCurrent) return this.#fractions;
    this.#mix.evictExpired(now);
    const byPriority = deferLeastUrgent(
      this.#mix.getShares(knownPriorities),
      deferredFraction,
    );
    this.#fractions = {
      computedAt: now,
      deferredFraction,
      byPriority,
      byOrganisation: new Map(),
    };
    return this.#fractions;
  }

  #divideAmongOrganisations(
    priority: Priority,
    deferred: number,
  ): ReadonlyMap<string, number> {
    const admitted = 1 - deferred;
    const demands = this.#mix.getDemands(priority);
    const admittedFractions = divideByWeight(demands, {
      fraction: admitted,
      minFraction: MIN_ORGANISATION_FACTOR * admitted,
    });
    return new Map(
      [...admittedFractions].map(([name, fraction]) => [name, 1 - fraction]),
    );
  }
}

/**
 * Returns the deferred fraction of each priority. The least urgent priority is deferred
 * first, the most urgent one never.
 */
function deferLeastUrgent(
  shares: ReadonlyMap<Priority, number>,
  deferredFraction: number,
): ReadonlyMap<Priority, number> {
  const deferred = new Map<Priority, number>();
  const leastUrgentFirst = [...shares.keys()].sort((left, right) =>
    right - left
  );
  let remaining = deferredFraction;
  for (const [index, priority] of leastUrgentFirst.entries()) {
    const isMostUrgent = index === leastUrgentFirst.length - 1;
    const share = shares.get(priority) as number;
    const maxFraction = isMostUrgent ? 0 : 1 - MIN_ADMITTED_FRACTION;
    const fraction = Math.min(maxFraction, remaining / share);
    deferred.set(priority, fraction);
    remaining -= fraction * share;
  }
  return deferred;
}

/**
 * Returns the fraction for a priority without arrivals: that of the next more urgent one.
 */
function getFractionOfUnknownPriority(
  priority: Priority,
  deferred: ReadonlyMap<Priority, number>,
): number {
  const moreUrgent = [...deferred.keys()].filter((other) => other < priority);
  return moreUrgent.length === 0
    ? 0
    : deferred.get(Math.max(...moreUrgent)) as number;
}
