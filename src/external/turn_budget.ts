/**
 * Limits how much of one kind of work is done in a turn of the event loop.
 *
 * @module
 */

/** The units of work for each turn of the event loop. */
export class TurnBudget {
  readonly #limit: number;
  /** Units that were spent in this turn. */
  #spent = 0;

  /** Creates a budget of `limit` units a turn. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether further work should be done in a later turn. */
  get isSpent(): boolean {
    return this.#spent >= this.#limit;
  }

  /**
   * Counts work of this turn.
   *
   * @example
   * ```ts
   * const budget = new TurnBudget(1000);
   * budget.spend(1000);
   * budget.isSpent; // true
   * ```
   */
  spend(units: number): void {
    if (this.#spent === 0) setImmediate(() => this.#spent = 0);
    this.#spent += units;
  }
}
