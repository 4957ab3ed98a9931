/**
 * Counts how often parts of prompts arrive and when they were last answered, to tell a
 * part that crashes targets from those that only occur beside it.
 *
 * @module
 */

/** Maximum number of parts to remember; the least recently seen one is forgotten first. */
const MAX_PARTS = 4096;

interface PartRecord {
  readonly arrivals: number;
  readonly servedAt: number;
}

const UNKNOWN_PART: PartRecord = {
  arrivals: 0,
  servedAt: Number.NEGATIVE_INFINITY,
};

/** Counts arrivals and answers of parts of prompts. */
export class PartTraffic {
  /** Records by part, the most recently seen last. */
  readonly #records = new Map<string, PartRecord>();
  #requests = 0;

  /** Number of requests that have arrived. */
  get requests(): number {
    return this.#requests;
  }

  /** Records that a request with these parts arrived. */
  recordArrival(parts: readonly string[]): void {
    this.#requests++;
    for (const part of parts) {
      const { arrivals, servedAt } = this.#get(part);
      this.#set(part, { arrivals: arrivals + 1, servedAt });
    }
  }

  /** Records that a request with a part was answered. */
  recordServed(part: string, servedAt: number): void {
    this.#set(part, { arrivals: this.#get(part).arrivals, servedAt });
  }

  /** Number of requests with a part that have arrived. */
  countArrivals(part: string): number {
    return this.#get(part).arrivals;
  }

  /** When a request with a part was last answered; negative infinity if none was. */
  getServedAt(part: string): number {
    return this.#get(part).servedAt;
  }

  #get(part: string): PartRecord {
    return this.#records.get(part) ?? UNKNOWN_PART;
  }

  #set(part: string, record: PartRecord): void {
    this.#records.delete(part);
    this.#records.set(part, record);
    if (this.#records.size <= MAX_PARTS) return;
    const [oldest] = this.#records.keys();
    if (oldest !== undefined) this.#records.delete(oldest);
  }
}
