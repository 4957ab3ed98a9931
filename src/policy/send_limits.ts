/**
 * Combines the limits on what all entries together send to a target.
 *
 * @module
 */
import type { TargetLimits } from "./target_limits.ts";
import type { WarmUpLimits } from "./warm_up_limits.ts";

/** A limit on what all entries together send to a target. */
export interface SendLimit {
  /** Requests a second. */
  readonly perSecond: number;
  /**
   * Whether the target warms up. Its requests are then limited in every span of one
   * second; limits that targets announce apply to spans of some seconds.
   */
  readonly isWarmUp: boolean;
}

/** The limits on what all entries together send to each target. */
export abstract class SendLimits {
  /** Whether no target has a limit. */
  abstract get isEmpty(): boolean;

  /** Returns the limit of a target; undefined if it has none. */
  abstract tryGet(target: string): SendLimit | undefined;
}

/**
 * Combines the limits that targets announce with those of targets that warm up; the lower
 * one applies.
 */
export class CombinedLimits extends SendLimits {
  readonly #announced: TargetLimits;
  readonly #warmUp: WarmUpLimits;

  /** Reads both sources on each call. */
  constructor(announced: TargetLimits, warmUp: WarmUpLimits) {
    super();
    this.#announced = announced;
    this.#warmUp = warmUp;
  }

  override get isEmpty(): boolean {
    return this.#announced.isEmpty && this.#warmUp.isEmpty;
  }

  override tryGet(target: string): SendLimit | undefined {
    const announced = this.#announced.tryGet(target);
    const warmUp = this.#warmUp.tryGet(target);
    if (warmUp === undefined) {
      return announced === undefined
        ? undefined
        : { perSecond: announced, isWarmUp: false };
    }
    return { perSecond: Math.min(warmUp, announced ?? warmUp), isWarmUp: true };
  }
}
