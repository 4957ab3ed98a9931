/**
 * After the process stood still, hears which callers have left before anything is sent
 * on for them.
 *
 * The pattern: a process that had no processor for a while finds many things at once, in
 * any order: loads, answers, and the closes of callers who gave up meanwhile. What waits
 * for a place must not go to a target because a load was read a moment before the close
 * of its caller.
 *
 * @module
 */
import type { EntryEvent } from "./types.ts";

/**
 * Longest gap between two events of a process that runs, in milliseconds: above the
 * ticks of an idle one (250), below the half second after which work that is sent on
 * for a caller who left is work wasted.
 */
export const MAX_GAP_MS = 350;

/** What a {@link StallGuard} works with. */
export interface StallGuardOptions {
  readonly now: () => number;
  /** Ends when all that had arrived is read. */
  readonly waitForTurn: () => Promise<void>;
  /** Takes in the events that were held back, in their order. */
  readonly deliver: (event: EntryEvent) => void;
}

/** Holds back events for one turn of the event loop after a stall. */
export class StallGuard {
  readonly #options: StallGuardOptions;
  #lastEventAt: number;
  #deferred: EntryEvent[] | undefined;

  /** Begins as if an event had just been seen. */
  constructor(options: StallGuardOptions) {
    this.#options = options;
    this.#lastEventAt = options.now();
  }

  /**
   * Whether the event is held back; it is delivered later then. That a caller has left
   * is never held back.
   *
   * @example
   * ```ts
   * if (!guard.tryHold(event)) reducer.reduce(event);
   * ```
   */
  tryDefer(event: EntryEvent): boolean {
    if (event.kind === "caller_gone") return false;
    const now = this.#options.now();
    const gap = now - this.#lastEventAt;
    this.#lastEventAt = now;
    if (this.#deferred === undefined) {
      if (gap <= MAX_GAP_MS) return false;
      this.#deferred = [];
      void this.#deliverAfterTurn();
    }
    this.#deferred.push(event);
    return true;
  }

  async #deliverAfterTurn(): Promise<void> {
    await this.#options.waitForTurn();
    const held = this.#deferred ?? [];
    this.#deferred = undefined;
    for (const event of held) this.#options.deliver(event);
  }
}
