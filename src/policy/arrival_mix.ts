/**
 * The mix of priorities and organisations among the requests that came in lately.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import type { OrganisationDemand } from "./fair_division.ts";

/** A request that came in. */
export interface MixArrival {
  readonly priority: Priority;
  readonly organisation: string;
  /** Share of the organisation against others. */
  readonly weight: number;
  readonly now: number;
}

/**
 * Milliseconds for which a request counts: long enough to average out chance, short enough
 * to follow a burst of some seconds.
 */
const MIX_MS = 5000;
/**
 * Weight of the prior, equal shares of the priorities in the settings, in requests. One of
 * 720 entries sees less than one request in 5 s, so its own counts are not enough.
 */
const PRIOR_REQUESTS = 6;

/** Counts what came in during the last seconds. */
export class ArrivalMix {
  #arrivals: MixArrival[] = [];
  #firstKept = 0;
  readonly #demands = new Map<Priority, Map<string, OrganisationDemand>>();

  /** A request came in. */
  note(arrival: MixArrival): void {
    this.#arrivals.push(arrival);
    this.#change(arrival, 1);
    this.forgetOld(arrival.now);
  }

  /** Counts only what came in during the last seconds. */
  forgetOld(now: number): void {
    while (this.#firstKept < this.#arrivals.length) {
      const oldest = this.#arrivals[this.#firstKept] as MixArrival;
      if (now - oldest.now < MIX_MS) break;
      this.#change(oldest, -1);
      this.#firstKept++;
    }
    if (this.#firstKept * 2 <= this.#arrivals.length) return;
    this.#arrivals = this.#arrivals.slice(this.#firstKept);
    this.#firstKept = 0;
  }

  /**
   * Share of each priority, with those that the settings name assumed to be equally
   * frequent as far as little was seen.
   *
   * @example
   * ```ts
   * new ArrivalMix().sharesWith([3, 5]); // 3: 0.5, 5: 0.5
   * ```
   */
  sharesWith(known: readonly Priority[]): ReadonlyMap<Priority, number> {
    const counts = new Map<Priority, number>();
    const assumed = PRIOR_REQUESTS / Math.max(1, known.length);
    for (const priority of known) counts.set(priority, assumed);
    for (const [priority, demands] of this.#demands) {
      const seen = [...demands.values()]
        .reduce((sum, { requests }) => sum + requests, 0);
      counts.set(priority, (counts.get(priority) ?? 0) + seen);
    }
    const all = [...counts.values()].reduce((sum, count) => sum + count, 0);
    return new Map([...counts].map(([priority, n]) => [priority, n / all]));
  }

  /** What each organisation sent with a priority. */
  demandsOf(priority: Priority): ReadonlyMap<string, OrganisationDemand> {
    return this.#demands.get(priority) ?? new Map();
  }

  #change({ priority, organisation, weight }: MixArrival, by: number): void {
    const demands = this.#demands.get(priority) ??
      new Map<string, OrganisationDemand>();
    const requests = (demands.get(organisation)?.requests ?? 0) + by;
    if (requests > 0) demands.set(organisation, { requests, weight });
    else demands.delete(organisation);
    if (demands.size > 0) this.#demands.set(priority, demands);
    else this.#demands.delete(priority);
  }
}
