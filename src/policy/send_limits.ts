/**
 * The limits on what all entries together send a target, from every source of them.
 *
 * @module
 */
import type { TargetLimits } from "./target_limits.ts";
import type { WarmUpLimits } from "./warm_up_limits.ts";

/** What all entries together may send a target. */
export interface SendLimit {
  /** Requests a second. */
  readonly perSecond: number;
  /**
   * Whether the target warms up, so that what it gets is bounded in any span of one
   * second; limits that targets name are bounded in spans of some seconds.
   */
  readonly isWarmUp: boolean;
}

/** The limits on what all entries together send a target. */
export abstract class SendLimits {
  /** Whether no target has a limit now. */
  abstract get isEmpty(): boolean;

  /** What a target may be sent; undefined: it has no limit. */
  abstract tryGet(target: string): SendLimit | undefined;
}

/** Combines limits that targets name with those of targets that warm up; the lower holds. */
export class CombinedLimits extends SendLimits {
  readonly #named: TargetLimits;
  readonly #warmUp: WarmUpLimits;

  /** Reads both whenever it is asked. */
  constructor(named: TargetLimits, warmUp: WarmUpLimits) {
    super();
    this.#named = named;
    this.#warmUp = warmUp;
  }

  override get isEmpty(): boolean {
    return this.#named.isEmpty && this.#warmUp.isEmpty;
  }

  override tryGet(target: string): SendLimit | undefined {
    const named = this.#named.tryGet(target);
    const warmUp = this.#warmUp.tryGet(target);
    if (warmUp === undefined) {
      return named === undefined
        ? undefined
        : { perSecond: named, isWarmUp: false };
    }
    return { perSecond: Math.min(warmUp, named ?? warmUp), isWarmUp: true };
  }
}
