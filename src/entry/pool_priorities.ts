/**
 * The priorities that the services of each pool have. Only where these differ does
 * admission by priority take effect.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import type { ServiceDocument } from "../messages/settings_documents.ts";

/** Priorities of the services of each pool. */
export class PoolPriorities {
  /** Services by pool and priority. */
  readonly #counts = new Map<string, Map<Priority, number>>();

  /** A service came into force. */
  add(service: ServiceDocument): void {
    this.#change(service, 1);
  }

  /** A service is in force no more. */
  remove(service: ServiceDocument): void {
    this.#change(service, -1);
  }

  /**
   * Priorities of a pool's services, most urgent first; undefined where all have the
   * same one.
   *
   * @example
   * ```ts
   * table.priorities.tryPrioritiesOf("confirm"); // [3, 5, 7]
   * ```
   */
  tryPrioritiesOf(pool: string): readonly Priority[] | undefined {
    const counts = this.#counts.get(pool);
    if (counts === undefined || counts.size < 2) return undefined;
    return [...counts.keys()].sort((left, right) => left - right);
  }

  #change(service: ServiceDocument, by: number): void {
    const { priority } = service;
    for (const pool of poolsOf(service)) {
      const counts = this.#counts.get(pool) ?? new Map<Priority, number>();
      const count = (counts.get(priority) ?? 0) + by;
      if (count > 0) counts.set(priority, count);
      else counts.delete(priority);
      if (counts.size > 0) this.#counts.set(pool, counts);
      else this.#counts.delete(pool);
    }
  }
}

function poolsOf({ pool, split }: ServiceDocument): ReadonlySet<string> {
  return new Set(split?.map((share) => share.pool) ?? [pool]);
}
