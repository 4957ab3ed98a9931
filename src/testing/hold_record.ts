/**
 * How long the passes of a model of a formed group were held, and whether anybody could have
 * ended the hold.
 *
 * @module
 */
import type { RankState } from "../messages/formed_group_types.ts";

/** A look at a group that waits before a held pass. */
export interface HoldLook {
  readonly now: number;
  /** Milliseconds since the look before, for which the group is taken to have waited. */
  readonly lookMs: number;
  /** Whether nobody could tell then what to do. */
  readonly isUndecidable: boolean;
}

/** What is known of a held switch beside its holder. */
export interface HeldSwitchView {
  /** Whether the decider's machine stands still. */
  readonly isDeciderFrozen: boolean;
  readonly holder: RankState;
  /** The last word that the decider's own rank is armed. */
  readonly told: RankState | undefined;
}

/** How long passes were held. */
export class HoldRecord {
  #since: number | undefined;
  #avoidableMs = 0;
  #longestMs = 0;
  #longestAvoidableMs = 0;

  /** Longest time for which a pass was held, in milliseconds. */
  get longestMs(): number {
    return this.#longestMs;
  }

  /** The same without the time in which nobody could tell what to do. */
  get longestAvoidableMs(): number {
    return this.#longestAvoidableMs;
  }

  /** The group waits before a held pass. */
  observe({ now, lookMs, isUndecidable }: HoldLook): void {
    this.#since ??= now;
    this.#longestMs = Math.max(this.#longestMs, now - this.#since);
    if (isUndecidable) return;
    this.#avoidableMs += lookMs;
    this.#longestAvoidableMs = Math.max(
      this.#longestAvoidableMs,
      this.#avoidableMs,
    );
  }

  /** The group waits no more. */
  end(): void {
    this.#since = undefined;
    this.#avoidableMs = 0;
  }
}

/**
 * Whether the decider's machine stands still after the switch was decided, and no word has
 * left it that its own rank is armed: it may be or not, and others see the same.
 *
 * @example
 * ```ts
 * record.observe({ now, lookMs, isUndecidable: isUndecidable(view) });
 * ```
 */
export function isUndecidable(
  { isDeciderFrozen, holder, told }: HeldSwitchView,
): boolean {
  const { heldPass, armed, epoch } = holder;
  const isDecided = heldPass !== undefined && armed?.pass === heldPass;
  const isKnown = told?.epoch === epoch && told.armed?.pass === heldPass;
  return isDeciderFrozen && isDecided && !isKnown;
}
