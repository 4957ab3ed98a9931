/**
 * Computes how many requests a rank group can process before its passes exceed the pause
 * that callers tolerate between two chunks of an answer.
 *
 * All ranks of a group run each pass together, so each request lengthens every pass for
 * all requests. The cost of a request varies: the popularity of experts changes every few
 * seconds, and until the expert map follows, a pass takes half as long again or more. An
 * answer that takes 2 s almost always spans such a period. In a burst, passes exceed the
 * tolerated pause, and all answers in progress are late.
 *
 * The capacity is therefore computed from the reports of the group's decider with the
 * highest cost of the last seconds instead of the most recent one.
 *
 * @module
 */

/** A report of a group's decider. */
export interface CapacityReport {
  readonly at: number;
  /** Epoch in which the group was formed; costs of other epochs are discarded. */
  readonly epoch?: number;
  /** Mean time of the recent passes, in milliseconds; undefined if there were none. */
  readonly passMs?: number;
  /** Running and waiting requests of all ranks. */
  readonly load: number;
}

/** The conditions for which the capacity is computed. */
export interface CapacityContext {
  readonly now: number;
  /** Pause between two chunks of an answer that callers tolerate, in milliseconds. */
  readonly pauseMs: number;
  /** Time of a pass without requests, in milliseconds. */
  readonly idlePassMs: number;
  /** Requests that all ranks run at once. */
  readonly slots: number;
}

/** Load and capacity of a group, in requests. */
export interface GroupUtilization {
  readonly load: number;
  readonly capacity: number;
  /** Milliseconds since the report. */
  readonly ageMs: number;
}

interface Sample {
  readonly at: number;
  readonly passMs: number;
  readonly load: number;
}

/**
 * Fraction of the pause that a pass may take; the rest covers variation between passes.
 */
const PASS_FRACTION = 0.9;
/**
 * Milliseconds for which a cost is used: longer than most answers, so that a request is
 * admitted only if passes stay short enough even at the highest cost that answers which
 * are in progress have met.
 */
const COST_WINDOW_MS = 6000;
/** Milliseconds after which a report is ignored, as the decider has probably failed. */
const MAX_REPORT_AGE_MS = 1500;
/**
 * Samples with a load below this fraction of the slots are ignored: the variation of idle
 * passes, divided by few requests, would look like a high cost.
 */
const MIN_SAMPLED_FRACTION = 0.1;
/** Upper bounds of plausible reports. */
const MAX_PASS_MS = 60_000;
const MAX_LOAD = 1_000_000;

/** Computes the capacity of one rank group from the reports of its decider. */
export class GroupCapacity {
  #samples: Sample[] = [];
  #last: CapacityReport | undefined;

  /**
   * Records a report; returns whether it was plausible. Implausible reports are dropped.
   *
   * @example
   * ```ts
   * const capacity = new GroupCapacity();
   * capacity.record({ at: 0, passMs: 90, load: 100 }); // true
   * capacity.record({ at: 200, passMs: -1, load: 100 }); // false
   * ```
   */
  record(report: CapacityReport): boolean {
    if (!isPlausible(report)) return false;
    const { at, epoch, passMs, load } = report;
    if (epoch !== this.#last?.epoch) this.#samples = [];
    this.#last = report;
    this.#samples = this.#samples.filter((sample) =>
      at - sample.at < COST_WINDOW_MS
    );
    if (passMs !== undefined) this.#samples.push({ at, passMs, load });
    return true;
  }

  /**
   * Returns the current load and capacity. The result is undefined without a recent
   * report, or if even a pass without requests takes too long, as fewer requests would
   * not help then.
   *
   * @example
   * ```ts
   * const context = { now: 100, pauseMs: 150, idlePassMs: 35, slots: 224 };
   * capacity.tryGet(context)?.capacity; // (0.9 * 150 - 35) / 0.55 = 181.8
   * ```
   */
  tryGet(context: CapacityContext): GroupUtilization | undefined {
    const { now, pauseMs, idlePassMs, slots } = context;
    const last = this.#last;
    if (last === undefined) return undefined;
    const ageMs = now - last.at;
    const workMs = PASS_FRACTION * pauseMs - idlePassMs;
    if (ageMs > MAX_REPORT_AGE_MS || workMs <= 0) return undefined;
    const costMs = this.#getHighestCostMs(context);
    const capacity = costMs > 0 ? Math.min(slots, workMs / costMs) : slots;
    return { load: last.load, capacity, ageMs };
  }

  /**
   * Returns the highest recent cost: the milliseconds by which one request lengthens a
   * pass.
   */
  #getHighestCostMs({ now, idlePassMs, slots }: CapacityContext): number {
    let highest = 0;
    for (const { at, passMs, load } of this.#samples) {
      const isExpired = now - at >= COST_WINDOW_MS;
      if (isExpired || load < MIN_SAMPLED_FRACTION * slots) continue;
      highest = Math.max(highest, (passMs - idlePassMs) / load);
    }
    return highest;
  }
}

function isPlausible({ passMs, load }: CapacityReport): boolean {
  const isPassTimePlausible = passMs === undefined ||
    (passMs > 0 && passMs <= MAX_PASS_MS);
  return isPassTimePlausible && load >= 0 && load <= MAX_LOAD;
}
