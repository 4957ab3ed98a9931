/**
 * Limits retries to a share of the requests, so that a target that fails every request
 * does not double the load.
 *
 * @module
 */

/** Retries that are allowed regardless of traffic. */
const BASE_RETRIES = 2;
/** Number of requests over which the share is computed; older ones have no effect. */
const WINDOW_REQUESTS = 1000;

/** Counts requests and allows a share of them to be retried. */
export class RetryBudget {
  #share: number;
  #credit = BASE_RETRIES;

  /** `share` is the ratio of retries to requests, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Replaces the share. */
  setShare(share: number): void {
    this.#share = share;
  }

  /** Records a first attempt. */
  recordRequest(): void {
    const limit = BASE_RETRIES + WINDOW_REQUESTS * this.#share;
    this.#credit = Math.min(limit, this.#credit + this.#share);
  }

  /**
   * Takes the permission for one retry if the budget allows it.
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
