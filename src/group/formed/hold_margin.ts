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
const MIN_MARGIN_PASSES = 2;
const MAX_MARGIN_PASSES = 64;
/** Milliseconds from a hold until the pass may begin, until one was seen. */
const INITIAL_HOLD_MS = 120;
/**
 * Milliseconds that count for a switch at most: one that took longer waited for a machine
 * that stood still, which no margin helps.
 */
const MAX_HOLD_MS = 300;
/** Milliseconds of the shortest pass that is believed. */
const MIN_PASS_MS = 5;
/** Part of a longer time before that still counts with each switch that took less. */
const HOLD_DECAY = 0.8;
/**
 * Time kept ahead over that which switches took lately. A margin that is too long has the
 * map come some passes later; with one that is too short the group waits, and each answer
 * under way is late.
 */
const HOLD_TIME_FACTOR = 2.5;
/** The same while passes are longer than callers bear: all answers are late until then. */
const URGENT_HOLD_TIME_FACTOR = 1.5;

/** How far ahead the pass of a switch is held. */
export class HoldMargin {
  #passes = MIN_MARGIN_PASSES;
  /** With which a switch begins. */
  #basePasses = MIN_MARGIN_PASSES;
  #holdMs = INITIAL_HOLD_MS;

  /** Passes from the last one begun to the one that is to be held. */
  get passes(): number {
    return this.#passes;
  }

  /**
   * A switch begins, while passes take so many milliseconds and so large a part of the
   * pause that callers bear, as far as that is known.
   */
  startSwitch(passMs?: number, passPart = 0): void {
    const isUrgent = passPart > 1;
    const margin = isUrgent ? URGENT_HOLD_TIME_FACTOR : HOLD_TIME_FACTOR;
    const forTime = passMs === undefined || passMs < MIN_PASS_MS
      ? 0
      : Math.ceil(margin * this.#holdMs / passMs);
    this.#passes = Math.min(
      MAX_MARGIN_PASSES,
      Math.max(this.#basePasses, forTime),
    );
  }

  /**
   * It took so many milliseconds from the hold until the pass might begin.
   *
   * @example
   * ```ts
   * margin.noteTook(250);
   * margin.begin(60);
   * margin.passes; // 7
   * ```
   */
  recordHold(milliseconds: number): void {
    const tookMs = Math.min(MAX_HOLD_MS, milliseconds);
    const faded = HOLD_DECAY * this.#holdMs + (1 - HOLD_DECAY) * tookMs;
    this.#holdMs = Math.max(tookMs, faded);
  }

  /** The pass had begun before it was held: the next try is further ahead. */
  widen(): void {
    this.#passes = Math.min(MAX_MARGIN_PASSES, 2 * this.#passes);
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
  recordArmed(passesToGo: number): void {
    if (passesToGo <= 1) {
      this.#basePasses = Math.min(MAX_MARGIN_PASSES, this.#basePasses + 1);
    }
    if (passesToGo > 2) {
      this.#basePasses = Math.max(MIN_MARGIN_PASSES, this.#basePasses - 1);
    }
  }
}
