/**
 * How long a group's passes take, from the numbers of the last pass begun.
 *
 * @module
 */
import type { RankState } from "../../messages/formed_group_types.ts";

/** Longest gap between two looks that tells of passes, in milliseconds. */
const MAX_OBSERVATION_GAP_MS = 10_000;

/** How long a group's passes take. */
export class PassTimes {
  readonly #smoothing: number;
  #pass = -1;
  #at = 0;
  #meanMs: number | undefined;

  /** `smoothing` is the weight of the newest look, from 0 to 1. */
  constructor(smoothing: number) {
    this.#smoothing = smoothing;
  }

  /** Mean time of a pass in milliseconds; undefined before two looks. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** Forgets all: the group starts anew, with another map. */
  clear(): void {
    this.#pass = -1;
    this.#meanMs = undefined;
  }

  /** Takes in a state of rank 0. A group without work tells nothing. */
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
