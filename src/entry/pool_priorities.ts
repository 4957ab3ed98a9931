/**
 * The priorities of the services of each pool. Admission by priority takes effect only in
 * pools whose services have different priorities.
 *
 * @module
 */
import type { Priority } from "../messages/priority.ts";
import type { ServiceDocument } from "../messages/settings_documents.ts";

/** Tracks the priorities of the services of each pool. */
export class PoolPriorities {
  /** Number of services by pool and priority. */
  readonly #counts = new Map<string, Map<Priority, number>>();

  /** Adds a service that came into force. */
  add(service: ServiceDocument): void {
    this.#change(service, 1);
  }

  /** Removes a service that is no longer in force. */
  remove(service: ServiceDocument): void {
    this.#change(service, -1);
  }

  /**
   * Returns the priorities of a pool's services, most urgent first; undefined where all
   * services have the same one.
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

  #change(service: ServiceDocument, delta: number): void {
    const { priority } = service;
    for (const pool of poolsOf(service)) {
      const counts = this.#counts.get(pool) ?? new Map<Priority, number>();
      const count = (counts.get(priority) ?? 0) + delta;
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
