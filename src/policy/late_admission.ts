/**
 * Limits how fast late requests are admitted to a rank group, so that requests that can
 * still be answered in time are not delayed.
 *
 * When a lost group opens again, all requests that waited for it would be sent at once,
 * in addition to new ones. All ranks run each pass together, so each further request
 * lengthens every pass. Passes soon exceed the pause that callers tolerate between two
 * pieces of an answer, and every answer in progress is late, although an answer in time
 * is worth twice as much.
 *
 * Late requests are therefore admitted at the rate of the decider's reports of the pass
 * time: some with each report while passes are short, none while they come near the
 * tolerated pause. Each entry acts on the same report independently, and what all entries
 * together admit between two reports changes the pass time by less than the margin.
 *
 * While passes are shorter than the tolerated pause, no request is deferred until its
 * caller gives up: after a long wait it is sent as soon as a target has a free slot. An
 * unanswered caller is worse than some late answers, and waiting requests arrived over
 * time, so they are admitted over time, too.
 *
 * @module
 */

/** A decider's report of the pass time of its group. */
export interface PassWord {
  /** Mean time of a pass, in milliseconds; undefined if there was no recent pass. */
  readonly passMs: number | undefined;
  readonly at: number;
}

/** A request whose answer is unlikely to be in time. */
export interface LateRequest {
  readonly now: number;
  /** Milliseconds since the request arrived at this entry. */
  readonly waitedMs: number;
  /** Whether the target would start the request immediately. */
  readonly hasFreePlace: boolean;
}

/**
 * Fraction of the tolerated pause up to which passes count as short. A usual pass takes
 * less than half of the pause, a pass with all slots in use more than all of it.
 */
const SHORT_PASS_PART = 0.6;
/**
 * Maximum number of late requests that an entry sends between two reports of short
 * passes.
 */
const MOST_PER_WORD = 2;
/** The same while the pass time is unknown, in a group that has just opened. */
const MOST_PER_FIRST_WORD = 1;
/**
 * Milliseconds after which a late request is no longer deferred: its caller gives up two
 * seconds after arrival, and the first piece of an answer takes some passes.
 */
const LONGEST_HELD_MS = 1300;
/** Milliseconds after which a report is ignored, as the decider is unavailable. */
const WORD_LIMIT_MS = 1500;

/** Limits the late requests that are admitted to one rank group. */
export class LateAdmission {
  #word: PassWord | undefined;
  #let = 0;

  /**
   * Records a report of the group's decider; they arrive every few hundred milliseconds.
   */
  note(word: PassWord): void {
    this.#word = word;
    this.#let = 0;
  }

  /**
   * Whether a late request may be sent to the group now.
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

  /** Records that a late request was sent to the group. */
  count(): void {
    this.#let++;
  }
}

/**
 * Whether the request must be sent now to be answered at all, and can be. If passes
 * exceed the tolerated pause, the group is overloaded, and another request would leave
 * others unanswered.
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
