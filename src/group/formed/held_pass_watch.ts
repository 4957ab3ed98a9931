/**
 * How long a group has been waiting before a held pass.
 *
 * @module
 */
import { readHeldPass } from "./held_pass.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

/**
 * Milliseconds for which the group may wait before a held pass until its switch is
 * ended from beside the holder. A decider takes some 50 with 24 ranks, and 120 more for
 * each order that has to be given again.
 */
const RECOVERY_DELAY_MS = 250;

/** How long a group has been waiting before a held pass. */
export class HeldPassWatch {
  #heldPass: number | undefined;
  #awaitedSince = 0;

  /**
   * Takes in the state of the holder's engine at a time in milliseconds. Returns for how
   * long the group has waited, or undefined while that is no reason to end the switch.
   *
   * @example
   * ```ts
   * if (watch.observe(state, now) !== undefined) endSwitch();
   * ```
   */
  observe(state: RankState, now: number): number | undefined {
    const held = readHeldPass(state);
    if (held.kind === "nothing_held") {
      this.#heldPass = undefined;
      return undefined;
    }
    const isAwaited = state.pass >= held.pass - 1;
    if (this.#heldPass !== held.pass || !isAwaited) this.#awaitedSince = now;
    this.#heldPass = held.pass;
    const awaitedMs = now - this.#awaitedSince;
    return awaitedMs < RECOVERY_DELAY_MS ? undefined : awaitedMs;
  }
}
