/**
 * Measures how long a group has been waiting for a held pass.
 *
 * @module
 */
import { readHeldPass } from "./held_pass.ts";
import type { RankState } from "../../messages/formed_group_types.ts";

/**
 * Milliseconds for which a group may wait for a held pass until the holder's sidecar
 * completes its switch. A decider takes about 50 ms with 24 ranks and 120 ms more for
 * each order that has to be sent again.
 */
const RECOVERY_DELAY_MS = 250;

/** Measures how long a group has been waiting for a held pass. */
export class HeldPassWatch {
  #heldPass: number | undefined;
  #waitingSince = 0;

  /**
   * Records the state of the holder's engine at `now` in milliseconds. Returns how long
   * the group has waited in milliseconds, or undefined while that is too short to
   * intervene.
   *
   * @example
   * ```ts
   * if (watch.observe(state, now) !== undefined) completeSwitch();
   * ```
   */
  observe(state: RankState, now: number): number | undefined {
    const held = readHeldPass(state);
    if (held.kind === "nothing_held") {
      this.#heldPass = undefined;
      return undefined;
    }
    const isAwaited = state.pass >= held.pass - 1;
    if (this.#heldPass !== held.pass || !isAwaited) this.#waitingSince = now;
    this.#heldPass = held.pass;
    const awaitedMs = now - this.#waitingSince;
    return awaitedMs < RECOVERY_DELAY_MS ? undefined : awaitedMs;
  }
}
