/**
 * Decides which requests are deferred when a rank group is near its capacity.
 *
 * A burst of requests of one priority, the least urgent or the most urgent, can exceed
 * what a group processes in time. Without admission control the answers of all priorities
 * are then late, although some are worth several times others, and large organisations
 * take the capacity of small ones.
 *
 * All entries receive the same load report and defer the same fraction of arriving
 * requests, so no entry has to know the demand at the others. Each entry takes that
 * fraction from the least urgent priorities of its recent arrivals, and within a priority
 * from the organisations that send more than their fair share of it.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import { ArrivalMix, type MixArrival } from "./arrival_mix.ts";
import { divideByWeight } from "./fair_division.ts";
import { getLatestReturnMs } from "./return_time.ts";

/**
 * Ratios of load to capacity: below the first no request is deferred, from the second on
 * every request that may be deferred is. Reports are some hundred milliseconds old, so
 * the load goes on rising for a while after deferral starts.
 */
const HOLD_START_UTILIZATION = 0.7;
const HOLD_ALL_UTILIZATION = 1;
/** Fraction of each priority that is always admitted, so that none is starved. */
const LEAST_ADMITTED = 0.25;
/**
 * Fraction of a priority's admission rate that each organisation gets however much it
 * sends. Without it an organisation that sends half of a priority would hardly be served.
 */
const LEAST_ORGANISATION_FACTOR = 0.5;
/** Lower bound of the retry delay, in milliseconds. */
const LEAST_RETURN_MS = 1000;
/** Fraction of the range of retry delays that is used however little is deferred. */
const LEAST_SPREAD = 0.3;
/** Milliseconds for which computed fractions are reused. */
const PARTS_CACHE_MS = 100;

/** The properties of a request that determine its deferral probability. */
export type OrderedRequest = Pick<
  MixArrival,
  "priority" | "organisation" | "weight"
>;

/** The conditions under which a request is admitted or deferred. */
export interface OrderFacts {
  readonly now: number;
  /** Fraction of all arriving requests to defer, from 0 to 1. */
  readonly heldPart: number;
  /** Priorities named by the settings, most urgent first. */
  readonly known: readonly Priority[];
}

interface Parts {
  readonly at: number;
  readonly heldPart: number;
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
 * getHeldPart({ load: 85, capacity: 100 }); // 0.5
 * ```
 */
export function getHeldPart(
  { load, capacity }: { readonly load: number; readonly capacity: number },
): number {
  const used = capacity > 0 ? load / capacity : HOLD_ALL_UTILIZATION;
  const part = (used - HOLD_START_UTILIZATION) /
    (HOLD_ALL_UTILIZATION - HOLD_START_UTILIZATION);
  return Math.min(1, Math.max(0, part));
}

/** The input of {@link getDeferralRetryDelayMs}. */
export interface AdmissionReturnFacts {
  /** Milliseconds until the request's deadline. */
  readonly leftMs: number;
  /** Fraction of all arriving requests that is deferred. */
  readonly heldPart: number;
  /** A random number in [0, 1) that spreads retries over time. */
  readonly drawn: number;
}

/**
 * Returns the milliseconds after which the caller of a deferred request should retry: at
 * least a second, at most a third of its remaining time, and longer the more is deferred.
 *
 * @example
 * ```ts
 * getAdmissionReturnMs({ leftMs: 8000, heldPart: 1, drawn: 0.5 }); // 1803.3
 * ```
 */
export function getAdmissionReturnMs(
  { leftMs, heldPart, drawn }: AdmissionReturnFacts,
): number {
  const longest = getLatestReturnMs(leftMs);
  const range = Math.max(0, longest - LEAST_RETURN_MS);
  const part = LEAST_SPREAD + (1 - LEAST_SPREAD) * heldPart;
  return Math.min(longest, LEAST_RETURN_MS + range * part * drawn);
}

/** Decides which requests of one pool are deferred. */
export class AdmissionOrder {
  readonly #mix = new ArrivalMix();
  #parts: Parts | undefined;

  /** Records an arriving request. */
  noteArrival(arrival: MixArrival): void {
    this.#mix.note(arrival);
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
   * const facts = { now: 0, heldPart: 0.1, known: [3, 5, 7] };
   * order.getHeldPartOf(request, facts); // 0.1 / (1 / 3) = 0.3
   * ```
   */
  getHeldPartOf(request: OrderedRequest, facts: OrderFacts): number {
    if (facts.heldPart <= 0) return 0;
    const parts = this.#partsAt(facts);
    const { priority, organisation } = request;
    const held = parts.byPriority.get(priority) ??
      getPartOfUnseen(priority, parts.byPriority);
    if (held <= 0) return 0;
    let byOrganisation = parts.byOrganisation.get(priority);
    if (byOrganisation === undefined) {
      byOrganisation = this.#divide(priority, held);
      parts.byOrganisation.set(priority, byOrganisation);
    }
    return byOrganisation.get(organisation) ?? held;
  }

  #partsAt({ now, heldPart, known }: OrderFacts): Parts {
    const { at, heldPart: before } = this.#parts ?? { at: 0, heldPart: -1 };
    const isCurrent = before === heldPart && now - at < PARTS_CACHE_MS;
    if (this.#parts !== undefined && isCurrent) return this.#parts;
    this.#mix.forgetOld(now);
    const byPriority = takeFromLeast(this.#mix.sharesWith(known), heldPart);
    this.#parts = { at: now, heldPart, byPriority, byOrganisation: new Map() };
    return this.#parts;
  }

  #divide(priority: Priority, held: number): ReadonlyMap<string, number> {
    const admitted = 1 - held;
    const demands = this.#mix.demandsOf(priority);
    const admittedParts = divideByWeight(demands, {
      part: admitted,
      leastPart: LEAST_ORGANISATION_FACTOR * admitted,
    });
    return new Map(
      [...admittedParts].map(([name, part]) => [name, 1 - part]),
    );
  }
}

/**
 * Returns the deferred fraction of each priority. The least urgent priority is deferred
 * first, the most urgent one never.
 */
function takeFromLeast(
  shares: ReadonlyMap<Priority, number>,
  heldPart: number,
): ReadonlyMap<Priority, number> {
  const held = new Map<Priority, number>();
  const order = [...shares.keys()].sort((left, right) => right - left);
  let remaining = heldPart;
  for (const [index, priority] of order.entries()) {
    const isFirst = index === order.length - 1;
    const share = shares.get(priority) as number;
    const most = isFirst ? 0 : 1 - LEAST_ADMITTED;
    const part = Math.min(most, remaining / share);
    held.set(priority, part);
    remaining -= part * share;
  }
  return held;
}

/**
 * Returns the fraction for a priority without arrivals: that of the next more urgent one.
 */
function getPartOfUnseen(
  priority: Priority,
  held: ReadonlyMap<Priority, number>,
): number {
  const above = [...held.keys()].filter((other) => other < priority);
  return above.length === 0 ? 0 : held.get(Math.max(...above)) as number;
}
