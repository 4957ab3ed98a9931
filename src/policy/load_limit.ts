/**
 * How many requests a rank group may be sent for each of its places, so that answers keep
 * their pace.
 *
 * The pattern: all ranks run each pass together and each request makes it longer, so
 * with all places taken passes can take longer than the pause that callers bear. Every
 * answer is late then, each request keeps its place longer, and the group does not come
 * out of it by itself while requests arrive as ever. With fewer requests passes are
 * short again and those that run are in time.
 *
 * The limit falls with each word of the group's decider on passes that are too long, and
 * rises while they are short. All entries hear the same word.
 *
 * @module
 */

/**
 * Requests for each place without a reason to send fewer: a quarter more than the places
 * wait at the servers for the next place to get free, which takes a fifth of a second;
 * more would wait longer than callers do.
 */
const HIGHEST = 1.25;
/** Half of the places are used in any case. */
const LOWEST = 0.6;
/** Part of the pause that callers bear above which passes are too long. */
const LONG_PASS_PART = 0.95;
/** Part of that pause below which they are short. */
const SHORT_PASS_PART = 0.75;
/** Change of the limit with one word, which comes each fifth of a second. */
const FALL = 0.1;
const RISE = 0.1;

/** Requests that a rank group may be sent, for each of its places. */
export class LoadLimit {
  #limit = HIGHEST;

  /** The limit now. */
  get perPlace(): number {
    return this.#limit;
  }

  /**
   * The group's decider told the mean time of a pass.
   *
   * @example
   * ```ts
   * const limit = new LoadLimit();
   * limit.note(150, 120);
   * limit.perPlace; // 1.15
   * ```
   */
  note(passMs: number | undefined, pauseObjectiveMs: number): void {
    if (passMs === undefined) {
      this.#limit = HIGHEST;
      return;
    }
    const part = passMs / pauseObjectiveMs;
    if (part > LONG_PASS_PART) {
      this.#limit = Math.max(LOWEST, this.#limit - FALL);
    } else if (part < SHORT_PASS_PART) {
      this.#limit = Math.min(HIGHEST, this.#limit + RISE);
    }
  }
}
