/**
 * Determines how many passes ahead the pass of a switch is held.
 *
 * @module
 */

/**
 * Minimum number of passes from the last one that has begun to the one of the switch.
 * Orders take 20 ms to reach 12 ranks and a pass takes 40 ms or more, so with two passes
 * the group rarely has to wait. Orders to more ranks take longer, so the margin grows
 * whenever the group had to wait.
 */
const MIN_MARGIN_PASSES = 2;
const MAX_MARGIN_PASSES = 64;
/** Assumed milliseconds from a hold to its release until one is observed. */
const INITIAL_HOLD_MS = 120;
/**
 * Upper limit of the hold duration that is recorded for a switch, in milliseconds. A
 * longer hold waited for a frozen VM, which no margin can compensate.
 */
const MAX_HOLD_MS = 300;
/** Shorter mean pass durations, in milliseconds, are ignored as implausible. */
const MIN_PASS_MS = 5;
/**
 * Weight of the previous value when the recorded hold duration decreases, from 0 to 1.
 */
const HOLD_DECAY = 0.8;
/**
 * Ratio of the time that is kept ahead to the duration of recent holds. If the margin is
 * too long, the map takes effect some passes later; if it is too short, the group waits
 * and every answer in progress is late.
 */
const HOLD_TIME_FACTOR = 2.5;
/** The same ratio while passes exceed the pause objective, when all answers are late. */
const URGENT_HOLD_TIME_FACTOR = 1.5;

/** Determines how many passes ahead the pass of a switch is held. */
export class HoldMargin {
  #passes = MIN_MARGIN_PASSES;
  /** Margin with which a switch starts. */
  #basePasses = MIN_MARGIN_PASSES;
  #holdMs = INITIAL_HOLD_MS;

  /** Number of passes from the last one that has begun to the one to hold. */
  get passes(): number {
    return this.#passes;
  }

  /**
   * Sets the margin for a new switch. `passMs` is the mean duration of a pass in
   * milliseconds, `passPauseRatio` its ratio to the pause objective, if they are known.
   */
  startSwitch(passMs?: number, passPauseRatio = 0): void {
    const isUrgent = passPauseRatio > 1;
    const factor = isUrgent ? URGENT_HOLD_TIME_FACTOR : HOLD_TIME_FACTOR;
    const passesForHold = passMs === undefined || passMs < MIN_PASS_MS
      ? 0
      : Math.ceil(factor * this.#holdMs / passMs);
    this.#passes = Math.min(
      MAX_MARGIN_PASSES,
      Math.max(this.#basePasses, passesForHold),
    );
  }

  /**
   * Records the milliseconds from the hold of a pass to its release.
   *
   * @example
   * ```ts
   * margin.recordHold(250);
   * margin.startSwitch(60);
   * margin.passes; // 7
   * ```
   */
  recordHold(milliseconds: number): void {
    const holdMs = Math.min(MAX_HOLD_MS, milliseconds);
    const decayed = HOLD_DECAY * this.#holdMs + (1 - HOLD_DECAY) * holdMs;
    this.#holdMs = Math.max(holdMs, decayed);
  }

  /** Doubles the margin for the next attempt, since the pass began before it was held. */
  widen(): void {
    this.#passes = Math.min(MAX_MARGIN_PASSES, 2 * this.#passes);
  }

  /**
   * Records how many passes remained when all ranks were armed. With at most one, the
   * group may have waited, so the margin grows; with three or more, it shrinks.
   *
   * @example
   * ```ts
   * margin.recordArmed(1);
   * margin.startSwitch();
   * margin.passes; // 3
   * ```
   */
  recordArmed(remainingPasses: number): void {
    if (remainingPasses <= 1) {
      this.#basePasses = Math.min(MAX_MARGIN_PASSES, this.#basePasses + 1);
    }
    if (remainingPasses > 2) {
      this.#basePasses = Math.max(MIN_MARGIN_PASSES, this.#basePasses - 1);
    }
  }
}
