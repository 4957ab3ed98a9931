/**
 * Estimates the duration of a group's passes from the pass numbers that ranks report.
 *
 * @module
 */
import type { RankState } from "../../messages/formed_group_types.ts";

/** Observations further apart than this many milliseconds are not compared. */
const MAX_OBSERVATION_GAP_MS = 10_000;

/** Estimates the duration of a group's passes. */
export class PassTimes {
  readonly #smoothing: number;
  #pass = -1;
  #at = 0;
  #meanMs: number | undefined;

  /** `smoothing` is the weight of the newest sample, from 0 to 1. */
  constructor(smoothing: number) {
    this.#smoothing = smoothing;
  }

  /** Mean duration of a pass in milliseconds; undefined before two observations. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** Clears all observations, since the group restarts with another map. */
  clear(): void {
    this.#pass = -1;
    this.#meanMs = undefined;
  }

  /** Records a state of rank 0. A period without running requests yields no sample. */
  observe(state: RankState, now: number): void {
    const passes = state.pass - this.#pass;
    const gapMs = now - this.#at;
    const isKnown = this.#pass >= 0 && passes > 0 &&
      gapMs < MAX_OBSERVATION_GAP_MS;
    if (passes === 0 && state.running > 0) return;
    this.#pass = state.pass;
    this.#at = now;
    if (!isKnown) return;
    const sample = gapMs / passes;
    this.#meanMs ??= sample;
    this.#meanMs += this.#smoothing * (sample - this.#meanMs);
  }
}
