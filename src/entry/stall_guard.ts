/**
 * Ensures that, after the process stalled, disconnected callers are noticed before
 * requests are sent for them.
 *
 * A process that got no CPU time for a while finds many events at once, in any order:
 * load reports, answers, and the closed connections of callers that gave up. A waiting
 * request must not be sent to a target because a load report was read just before the
 * closed connection of its caller.
 *
 * @module
 */
import type { EntryEvent } from "./types.ts";

/**
 * Milliseconds between two events above which the process counts as having stalled.
 * Longer than the tick interval of an idle process (250 ms), and shorter than the 500 ms
 * after which a request that is sent for a disconnected caller counts as wasted.
 */
export const MAX_GAP_MS = 350;

/** Options of a {@link StallGuard}. */
export interface StallGuardOptions {
  readonly now: () => number;
  /** Resolves when everything that had arrived has been read. */
  readonly waitForTurn: () => Promise<void>;
  /** Receives the deferred events, in order. */
  readonly deliver: (event: EntryEvent) => void;
}

/** Defers events for one turn of the event loop after a stall. */
export class StallGuard {
  readonly #options: StallGuardOptions;
  #lastEventAt: number;
  #deferred: EntryEvent[] | undefined;

  /** Creates a guard that counts the first gap from now. */
  constructor(options: StallGuardOptions) {
    this.#options = options;
    this.#lastEventAt = options.now();
  }

  /**
   * Defers an event if the process stalled before it; returns whether it did. The event
   * that a caller has disconnected is never deferred.
   *
   * @example
   * ```ts
   * if (!guard.tryDefer(event)) reducer.reduce(event);
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
    const deferred = this.#deferred ?? [];
    this.#deferred = undefined;
    for (const event of deferred) this.#options.deliver(event);
  }
}
