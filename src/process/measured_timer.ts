/**
 * Measures how late timers fire, which distinguishes a process without processor time
 * from a slow network.
 *
 * @module
 */
import type { DurationHistogram } from "./metrics_page.ts";

/** Schedules timers and records how late each of them fires. */
export class MeasuredTimer {
  readonly #delays: DurationHistogram;
  #timer: NodeJS.Timeout | undefined;

  /** Creates a timer that records its delays in `delays`. */
  constructor(delays: DurationHistogram) {
    this.#delays = delays;
  }

  /**
   * Schedules a call; replaces one that is still pending.
   *
   * @example
   * ```ts
   * timer.schedule(() => reducer.tick(), 250);
   * ```
   */
  schedule(callback: () => void, milliseconds: number): void {
    this.stop();
    const plannedAt = performance.now();
    this.#timer = setTimeout(() => {
      this.#delays.record(performance.now() - plannedAt - milliseconds);
      callback();
    }, milliseconds);
  }

  /** Cancels the pending call. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
