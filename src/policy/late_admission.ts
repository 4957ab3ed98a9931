/**
 * Lets requests that are late already into a rank group only as fast as it leaves time
 * for those that can still be on time.
 *
 * The pattern: a group that was lost opens again, and all that waited for it would be
 * sent there at once, while new requests arrive as ever. All ranks run each pass
 * together, so one request more makes each pass longer for all of them: passes soon take
 * longer than the pause that callers bear between two pieces of an answer, and every
 * answer under way is late then, though it is worth twice as much on time.
 *
 * So late requests are let in by the word that the group's decider gives on the time of
 * a pass: some with each word while passes are short, none while they come near that
 * pause. Each entry acts by itself on the same word, and what all entries together let
 * in between two words moves the time of a pass by less than what is kept free.
 *
 * None is held back until its caller leaves while passes are still shorter than that pause:
 * one that has waited for long goes where there is a place. A caller that gets nothing is
 * worse off than some that get theirs late, and who waits has arrived over time, so they
 * go in over time, too.
 *
 * @module
 */

/** A decider's word on how long the passes of its group take. */
export interface PassWord {
  /** Mean time of a pass, in milliseconds; undefined: the group made none lately. */
  readonly passMs: number | undefined;
  readonly at: number;
}

/** A request whose answer can hardly be on time any more. */
export interface LateRequest {
  readonly now: number;
  /** Milliseconds since it came to this entry. */
  readonly waitedMs: number;
  /** Whether the target would begin with it at once. */
  readonly hasFreePlace: boolean;
}

/**
 * Part of the pause that callers bear up to which passes are short. A usual pass takes less
 * than half of it, one with all places taken more than all of it.
 */
const SHORT_PASS_PART = 0.6;
/** Late requests that an entry sends between two words on short passes. */
const MOST_PER_WORD = 2;
/** The same while nothing is known of passes: a group that has just opened. */
const MOST_PER_FIRST_WORD = 1;
/**
 * Milliseconds after which a late request is held back no longer: its caller leaves two
 * seconds after it came, and the first piece of an answer takes some passes.
 */
const LONGEST_HELD_MS = 1300;
/** Milliseconds after which a word holds nobody back: the decider is gone. */
const WORD_LIMIT_MS = 1500;

/** Lets late requests into one rank group. */
export class LateAdmission {
  #word: PassWord | undefined;
  #let = 0;

  /** The group's decider gave its word, each some hundred milliseconds. */
  note(word: PassWord): void {
    this.#word = word;
    this.#let = 0;
  }

  /**
   * Whether a late request that has waited for so long may be sent to the group now.
   *
   * @example
   * ```ts
   * const admission = new LateAdmission();
   * admission.note({ passMs: 50, at: 0 });
   * admission.isOpen(120, { now: 10, waitedMs: 0, hasFreePlace: true }); // true
   * ```
   */
  isOpen(pauseObjectiveMs: number | undefined, late: LateRequest): boolean {
    const { now } = late;
    const word = this.#word;
    if (word === undefined || now - word.at > WORD_LIMIT_MS) return true;
    if (pauseObjectiveMs === undefined) return true;
    if (isLastChance(late, word, pauseObjectiveMs)) return true;
    return this.#let < mostPerWord(word, pauseObjectiveMs);
  }

  /** A late request was sent to the group. */
  count(): void {
    this.#let++;
  }
}

/**
 * Whether it is served now or not at all, and can be. Where passes take longer than callers
 * bear, there are too many requests for the group, and one more has others end unserved.
 */
function isLastChance(
  { waitedMs, hasFreePlace }: LateRequest,
  { passMs = 0 }: PassWord,
  pauseObjectiveMs: number,
): boolean {
  return waitedMs >= LONGEST_HELD_MS && hasFreePlace &&
    passMs <= pauseObjectiveMs;
}

function mostPerWord({ passMs }: PassWord, pauseObjectiveMs: number): number {
  if (passMs === undefined) return MOST_PER_FIRST_WORD;
  return passMs <= SHORT_PASS_PART * pauseObjectiveMs ? MOST_PER_WORD : 0;
}
