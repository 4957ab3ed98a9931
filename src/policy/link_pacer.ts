/**
 * Keeps what is sent beside more urgent messages within a part of a machine's link.
 *
 * @module
 */

const MS_PER_SECOND = 1000;

/** Options of a {@link LinkPacer}. */
export interface LinkPacerOptions {
  /** Bytes that the link carries in a second. */
  readonly bytesPerSecond: number;
  /** Part of the link that may be used, from 0 to 1. */
  readonly part: number;
}

/** Lets through what fits into a part of a link. */
export class LinkPacer {
  readonly #options: LinkPacerOptions;
  #isFreeAt = Number.NEGATIVE_INFINITY;

  /** Nothing was sent yet. */
  constructor(options: LinkPacerOptions) {
    this.#options = options;
  }

  /**
   * Whether so many bytes may be sent now, a time in milliseconds; if so, they count.
   *
   * @example
   * ```ts
   * if (pacer.tryTake(6200, performance.now())) send(map);
   * ```
   */
  tryTake(bytes: number, now: number): boolean {
    if (now < this.#isFreeAt) return false;
    const { bytesPerSecond, part } = this.#options;
    this.#isFreeAt = now + bytes / (part * bytesPerSecond) * MS_PER_SECOND;
    return true;
  }
}
