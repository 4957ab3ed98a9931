/**
 * Limits low-priority traffic to a fraction of a VM's link.
 *
 * @module
 */

const MS_PER_SECOND = 1000;

/** Options of a {@link LinkPacer}. */
export interface LinkPacerOptions {
  /** Capacity of the link in bytes per second. */
  readonly bytesPerSecond: number;
  /** Fraction of the link that may be used, from 0 to 1. */
  readonly fraction: number;
}

/** Limits traffic to a fraction of a link. */
export class LinkPacer {
  readonly #options: LinkPacerOptions;
  #freeAt = Number.NEGATIVE_INFINITY;

  /** Starts with the whole allowance available. */
  constructor(options: LinkPacerOptions) {
    this.#options = options;
  }

  /**
   * Whether `bytes` may be sent now, a time in milliseconds; if so, they are counted.
   *
   * @example
   * ```ts
   * if (pacer.tryTake(6200, performance.now())) send(map);
   * ```
   */
  tryTake(bytes: number, now: number): boolean {
    if (now < this.#freeAt) return false;
    const { bytesPerSecond, fraction } = this.#options;
    this.#freeAt = now + bytes / (fraction * bytesPerSecond) * MS_PER_SECOND;
    return true;
  }
}
