/**
 * Estimates how probable it is that requests lost their targets for reasons that have
 * nothing to do with them.
 *
 * @module
 */
import type { Crash } from "./crash_history.ts";
import type { OutcomeCounts } from "./pool_outcomes.ts";

/**
 * Minimum assumed probability that a request loses its target for other reasons. Answers
 * to other requests may be quicker, so that many of them are no better proof than a few.
 */
const MIN_LOSS_RATE = 0.2;
/** Milliseconds within which targets count as having crashed at one time. */
const SIMULTANEOUS_WINDOW_MS = 250;

/**
 * Returns the probability that requests lose their targets at some separate times and
 * none of them is answered, if they are as likely to lose them as the others are; 1 if
 * none of the others was answered.
 *
 * @example
 * ```ts
 * computeChance({ answered: 3, crashed: 0 }, 3); // 0.008
 * ```
 */
export function computeChance(
  { answered, crashed }: OutcomeCounts,
  times: number,
): number {
  if (answered === 0) return 1;
  // Rule of succession: no rate is certain after a few requests.
  const lossRate = (crashed + 1) / (answered + crashed + 2);
  return Math.max(lossRate, MIN_LOSS_RATE) ** times;
}

/**
 * Returns crashes, of which the earliest is first, without those that follow the one
 * before them at once.
 */
export function separateInTime(crashes: readonly Crash[]): readonly Crash[] {
  return crashes.filter((crash, index) => {
    const previous = crashes[index - 1];
    return previous === undefined || !areSimultaneous(previous, crash);
  });
}

/** Whether no other target crashed together with one. */
export function isSolitary(crash: Crash, all: readonly Crash[]): boolean {
  return all.every((other) =>
    other.target === crash.target || !areSimultaneous(other, crash)
  );
}

function areSimultaneous(left: Crash, right: Crash): boolean {
  return Math.abs(left.endedAt - right.endedAt) <= SIMULTANEOUS_WINDOW_MS;
}
