/**
 * Keeps retries to a share of the requests, so that a target that fails
 * everything does not double the load.
 *
 * @module
 */

/** Retries that a service with little traffic may still make. */
const SPARE_RETRIES = 2;
/** Requests over which the share is counted; older ones are forgotten. */
const WINDOW_REQUESTS = 1000;

/** Counts requests and lets a share of them be retried. */
export class RetryBudget {
  #share: number;
  #credit = SPARE_RETRIES;

  /** `share` is retries over requests, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Changes the share. */
  setShare(share: number): void {
    this.#share = share;
  }

  /** A first attempt was made. */
  countRequest(): void {
    const limit = SPARE_RETRIES + WINDOW_REQUESTS * this.#share;
    this.#credit = Math.min(limit, this.#credit + this.#share);
  }

  /**
   * Takes the right to one retry.
   *
   * @example
   * ```ts
   * if (budget.tryTake()) retry();
   * ```
   */
  tryTake(): boolean {
    if (this.#share === 0 || this.#credit < 1) return false;
    this.#credit--;
    return true;
  }
}
