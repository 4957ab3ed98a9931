/**
 * Which requests are held back from a rank group that is near its capacity.
 *
 * The load pattern: a burst of one kind of request, at times the least urgent and at times
 * the most urgent, takes a group beyond what it can process in time. The answers of all
 * kinds are late then, though some are worth several times others, and large
 * organisations take the places of small ones.
 *
 * All entries hear the same report and hold back the same part of what comes in, so none
 * has to know the others' demand. Each takes that part from the least urgent end of the
 * mix of priorities that it saw lately, and within a priority from organisations that send
 * more than their fair share of it.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import { ArrivalMix, type MixArrival } from "./arrival_mix.ts";
import { divideByWeight } from "./fair_division.ts";
import { getLatestReturnMs } from "./return_time.ts";

/**
 * Load over capacity below which nothing is held back, and from which everything is that may
 * be held back. Reports are some hundred milliseconds old, so the load goes on rising for a while after
 * requests are held back.
 */
const HOLD_START_UTILIZATION = 0.7;
const HOLD_ALL_UTILIZATION = 1;
/** Part of each priority that is always admitted, so that none is starved. */
const LEAST_ADMITTED = 0.25;
/**
 * Part of a priority's admitted share that each organisation is admitted with, however much
 * it sends: otherwise one that sends half of a priority would hardly be served.
 */
const LEAST_ORGANISATION_FACTOR = 0.5;
/** Milliseconds after which a caller should come back at the earliest. */
const LEAST_RETURN_MS = 1000;
/** Part of the possible times over which returns are spread however little is held back. */
const LEAST_SPREAD = 0.3;
/** Milliseconds for which parts are used before they are computed anew. */
const PARTS_CACHE_MS = 100;

/** What decides how likely a request is held back. */
export type OrderedRequest = Pick<
  MixArrival,
  "priority" | "organisation" | "weight"
>;

/** When and against what a request is ordered. */
export interface OrderFacts {
  readonly now: number;
  /** Part of all that comes in that is to be held back, 0 to 1. */
  readonly heldPart: number;
  /** Priorities that the settings name, most urgent first. */
  readonly known: readonly Priority[];
}

interface Parts {
  readonly at: number;
  readonly heldPart: number;
  readonly byPriority: ReadonlyMap<Priority, number>;
  /** Part of each organisation's requests that is held back, by priority. */
  readonly byOrganisation: Map<Priority, ReadonlyMap<string, number>>;
}

/**
 * Part of all that comes in that is to be held back at a load, both in requests.
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

/** What the time to come back of a request is computed from. */
export interface AdmissionReturnFacts {
  /** Milliseconds until its deadline. */
  readonly leftMs: number;
  /** Part of all that comes in that is held back. */
  readonly heldPart: number;
  /** A random number from 0 up to 1, so that callers do not come back together. */
  readonly drawn: number;
}

/**
 * Milliseconds after which the caller of a request that was held back should come back:
 * at least a second, at most a third of what it has left, and later the more is held back.
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

/** Chooses which requests of one pool are held back. */
export class AdmissionOrder {
  readonly #mix = new ArrivalMix();
  #parts: Parts | undefined;

  /** A request came in. */
  noteArrival(arrival: MixArrival): void {
    this.#mix.note(arrival);
  }

  /**
   * How likely a request like this one is held back, 0 to 1. Callers compare it with one
   * random number for each request, so that asking again changes nothing.
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

/** Held part of each priority: from the least urgent on, and never of the first. */
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

/** A priority that was not seen is held back as the next one that is more urgent. */
function getPartOfUnseen(
  priority: Priority,
  held: ReadonlyMap<Priority, number>,
): number {
  const above = [...held.keys()].filter((other) => other < priority);
  return above.length === 0 ? 0 : held.get(Math.max(...above)) as number;
}
