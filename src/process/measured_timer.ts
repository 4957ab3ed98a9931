/**
 * How late timers fire: it tells a process that has no processor from a network that is
 * slow.
 *
 * @module
 */
import type { Milliseconds } from "./metrics_page.ts";

/** Plans timers, and records how late each of them fired. */
export class MeasuredTimer {
  readonly #delays: Milliseconds;
  #timer: NodeJS.Timeout | undefined;

  /** Records delays there. */
  constructor(delays: Milliseconds) {
    this.#delays = delays;
  }

  /**
   * Calls back once; a call that was planned before is given up.
   *
   * @example
   * ```ts
   * timer.plan(() => reducer.tick(), 250);
   * ```
   */
  plan(callback: () => void, milliseconds: number): void {
    this.stop();
    const plannedAt = performance.now();
    this.#timer = setTimeout(() => {
      this.#delays.record(performance.now() - plannedAt - milliseconds);
      callback();
    }, milliseconds);
  }

  /** Calls back no more. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
