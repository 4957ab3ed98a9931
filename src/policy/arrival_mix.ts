/**
 * Counts recent arrivals by priority and organisation.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import type { OrganisationDemand } from "./fair_division.ts";

/** An arriving request. */
export interface Arrival {
  readonly priority: Priority;
  readonly organisation: string;
  /** Weight of the organisation relative to others. */
  readonly weight: number;
  readonly now: number;
}

/**
 * Length of the window in milliseconds: long enough to average out random variation,
 * short enough to follow a burst of some seconds.
 */
const WINDOW_MS = 5000;
/**
 * Weight, in requests, of the prior: equal shares of the priorities in the settings. One
 * of 720 entries receives less than one request in 5 s, so its own counts are not enough.
 */
const PRIOR_REQUESTS = 6;

/** Counts the arrivals of the last seconds. */
export class ArrivalMix {
  #arrivals: Arrival[] = [];
  #firstIndex = 0;
  readonly #demands = new Map<Priority, Map<string, OrganisationDemand>>();

  /** Records an arriving request. */
  record(arrival: Arrival): void {
    this.#arrivals.push(arrival);
    this.#adjustCount(arrival, 1);
    this.evictExpired(arrival.now);
  }

  /** Removes arrivals that have left the window. */
  evictExpired(now: number): void {
    while (this.#firstIndex < this.#arrivals.length) {
      const oldest = this.#arrivals[this.#firstIndex] as Arrival;
      if (now - oldest.now < WINDOW_MS) break;
      this.#adjustCount(oldest, -1);
      this.#firstIndex++;
    }
    if (this.#firstIndex * 2 <= this.#arrivals.length) return;
    this.#arrivals = this.#arrivals.slice(this.#firstIndex);
    this.#firstIndex = 0;
  }

  /**
   * Returns the share of each priority. The priorities named by the settings are assumed
   * to be equally frequent as long as there are few arrivals.
   *
   * @example
   * ```ts
   * new ArrivalMix().getShares([3, 5]); // 3: 0.5, 5: 0.5
   * ```
   */
  getShares(known: readonly Priority[]): ReadonlyMap<Priority, number> {
    const counts = new Map<Priority, number>();
    const assumed = PRIOR_REQUESTS / Math.max(1, known.length);
    for (const priority of known) counts.set(priority, assumed);
    for (const [priority, demands] of this.#demands) {
      const observed = [...demands.values()]
        .reduce((sum, { requests }) => sum + requests, 0);
      counts.set(priority, (counts.get(priority) ?? 0) + observed);
    }
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    return new Map(
      [...counts].map(([priority, count]) => [priority, count / total]),
    );
  }

  /** Returns the requests of each organisation at a priority. */
  getDemands(priority: Priority): ReadonlyMap<string, OrganisationDemand> {
    return this.#demands.get(priority) ?? new Map();
  }

  #adjustCount(
    { priority, organisation, weight }: Arrival,
    delta: number,
  ): void {
    const demands = this.#demands.get(priority) ??
      new Map<string, OrganisationDemand>();
    const requests = (demands.get(organisation)?.requests ?? 0) + delta;
    if (requests > 0) demands.set(organisation, { requests, weight });
    else demands.delete(organisation);
    if (demands.size > 0) this.#demands.set(priority, demands);
    else this.#demands.delete(priority);
  }
}
