/**
 * Measures how long passes of a simulated formed group were held, and for how much of
 * that time a process could have ended the hold.
 *
 * @module
 */
import type { RankState } from "../messages/formed_group_types.ts";

/** An observation of a group that waits for a held pass. */
export interface HoldObservation {
  readonly now: number;
  /**
   * Milliseconds since the previous observation, counted as time that the group waited.
   */
  readonly intervalMs: number;
  /** Whether no process could know at that time how to end the hold. */
  readonly isUndecidable: boolean;
}

/** State of a held switch from which {@link isUndecidable} is computed. */
export interface HeldSwitchView {
  /** Whether the decider's VM is frozen. */
  readonly isDeciderFrozen: boolean;
  readonly holder: RankState;
  /** The last report that the decider's own rank is armed. */
  readonly lastArmedState: RankState | undefined;
}

/** The times for which passes were held. */
export class HoldRecord {
  #heldSince: number | undefined;
  #avoidableMs = 0;
  #longestMs = 0;
  #longestAvoidableMs = 0;

  /** Longest time for which a pass was held, in milliseconds. */
  get longestMs(): number {
    return this.#longestMs;
  }

  /**
   * The longest hold, not counting the time in which no process could know how to end it.
   */
  get longestAvoidableMs(): number {
    return this.#longestAvoidableMs;
  }

  /** Records that the group waits for a held pass. */
  observe({ now, intervalMs, isUndecidable }: HoldObservation): void {
    this.#heldSince ??= now;
    this.#longestMs = Math.max(this.#longestMs, now - this.#heldSince);
    if (isUndecidable) return;
    this.#avoidableMs += intervalMs;
    this.#longestAvoidableMs = Math.max(
      this.#longestAvoidableMs,
      this.#avoidableMs,
    );
  }

  /** Records that the group no longer waits. */
  end(): void {
    this.#heldSince = undefined;
    this.#avoidableMs = 0;
  }
}

/**
 * Returns whether the decider's VM is frozen after the switch was committed and before it
 * reported that its own rank is armed. The rank may be armed or not, and other processes
 * observe the same in both cases.
 *
 * @example
 * ```ts
 * record.observe({ now, intervalMs, isUndecidable: isUndecidable(view) });
 * ```
 */
export function isUndecidable(
  { isDeciderFrozen, holder, lastArmedState }: HeldSwitchView,
): boolean {
  const { heldPass, armed, epoch } = holder;
  const isDecided = heldPass !== undefined && armed?.pass === heldPass;
  const isKnown = lastArmedState?.epoch === epoch &&
    lastArmedState.armed?.pass === heldPass;
  return isDeciderFrozen && isDecided && !isKnown;
}
