/**
 * Which switches a rank's process has ordered, and which it has promised not to
 * order any more.
 *
 * @module
 */
import type { PassOfEpoch } from "./types.ts";

/** What a rank's process tells of one epoch. */
export interface PromisedPasses {
  /** The latest pass for which it ordered a switch. */
  readonly orderedPass: number | undefined;
  /** It will order no switch at this pass or an earlier one. */
  readonly refusedPass: number | undefined;
}

const NOTHING: PromisedPasses = {
  orderedPass: undefined,
  refusedPass: undefined,
};

/** What a rank's process has ordered and promised. */
export class SwitchPromises {
  #epoch = -1;
  #passes = NOTHING;

  /** What holds for an epoch. */
  of(epoch: number): PromisedPasses {
    return epoch === this.#epoch ? this.#passes : NOTHING;
  }

  /** Notes a switch that is ordered now; false if that was refused before. */
  tryOrder({ epoch, pass }: PassOfEpoch): boolean {
    this.#enter(epoch);
    const { orderedPass, refusedPass } = this.#passes;
    if (epoch < this.#epoch || pass <= (refusedPass ?? -1)) return false;
    const latest = Math.max(orderedPass ?? pass, pass);
    this.#passes = { ...this.#passes, orderedPass: latest };
    return true;
  }

  /**
   * Promises to order no switch at a pass or an earlier one. What was ordered
   * before is not taken back, so then nothing is promised.
   */
  refuse({ epoch, pass }: PassOfEpoch): void {
    this.#enter(epoch);
    const { orderedPass, refusedPass } = this.#passes;
    if (epoch < this.#epoch || (orderedPass ?? -1) >= pass) return;
    const latest = Math.max(refusedPass ?? pass, pass);
    this.#passes = { ...this.#passes, refusedPass: latest };
  }

  #enter(epoch: number): void {
    if (epoch <= this.#epoch) return;
    this.#epoch = epoch;
    this.#passes = NOTHING;
  }
}
