/**
 * How far ahead the pass of a switch is held.
 *
 * @module
 */

/**
 * Passes between the last one that was begun and the one of the switch, at least.
 * Orders take 20 ms to reach all of 12 ranks and a pass 40 or more, so with two the
 * pass is rarely held in fact. More ranks take longer: the margin follows from
 * whether the group had to wait.
 */
const FIRST_MARGIN_PASSES = 2;
const LARGEST_MARGIN_PASSES = 64;

/** How far ahead the pass of a switch is held. */
export class HoldMargin {
  #passes = FIRST_MARGIN_PASSES;
  /** With which a switch begins. */
  #usual = FIRST_MARGIN_PASSES;

  /** Passes from the last one begun to the one that is to be held. */
  get passes(): number {
    return this.#passes;
  }

  /** A switch begins. */
  begin(): void {
    this.#passes = this.#usual;
  }

  /** The pass had begun before it was held: the next try is further ahead. */
  widen(): void {
    this.#passes = Math.min(LARGEST_MARGIN_PASSES, 2 * this.#passes);
  }

  /**
   * All ranks are armed with so many passes to go. With one the group may have stood
   * meanwhile; three or more are to spare.
   *
   * @example
   * ```ts
   * margin.noteArmed(1);
   * margin.begin();
   * margin.passes; // 3
   * ```
   */
  noteArmed(passesToGo: number): void {
    if (passesToGo <= 1) {
      this.#usual = Math.min(LARGEST_MARGIN_PASSES, this.#usual + 1);
    }
    if (passesToGo > 2) {
      this.#usual = Math.max(FIRST_MARGIN_PASSES, this.#usual - 1);
    }
  }
}
