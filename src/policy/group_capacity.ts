/**
 * How many requests a rank group can process without a pass that takes longer than callers
 * tolerate between two pieces of an answer.
 *
 * The load pattern: all ranks of a group run each pass together, so each request makes
 * every pass longer for all. What one request costs is not constant: the popularity of
 * experts changes each few seconds, and until the map follows, a pass takes half as long
 * again or more. An answer that takes 2 s nearly always meets such a time. In a burst,
 * passes take longer than the pause that callers tolerate, and the answers under way are
 * late for all callers alike.
 *
 * So the capacity is computed from what the group's decider reports, with the highest cost
 * of the last seconds in place of the last one.
 *
 * @module
 */

/** What a decider reports of its group. */
export interface CapacityReport {
  readonly at: number;
  /** Formation of the group; costs of another one say nothing. */
  readonly epoch?: number;
  /** Mean time of the last passes, in milliseconds; undefined: there were none. */
  readonly passMs?: number;
  /** Requests that run and that wait, over all ranks. */
  readonly load: number;
}

/** What capacity is computed for. */
export interface CapacityFacts {
  readonly now: number;
  /** Pause between two pieces of an answer that callers tolerate, in milliseconds. */
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

/** Part of the pause that a pass may take; the rest covers what varies between passes. */
const PASS_PART = 0.9;
/** Milliseconds for which a cost counts: popularity changes each 2.5 to 4 s. */
const COST_MEMORY_MS = 6000;
/** Milliseconds after which a report is ignored: the decider has probably failed. */
const REPORT_LIMIT_MS = 1500;
/**
 * Samples below this part of the slots are ignored: the variation of idle passes, divided by
 * few requests, would look like a high cost.
 */
const LEAST_SAMPLED_PART = 0.1;
/** Bounds of what a report can mean. */
const LONGEST_PASS_MS = 60_000;
const LARGEST_LOAD = 1_000_000;

/** Capacity of one rank group, from the reports of its decider. */
export class GroupCapacity {
  #samples: Sample[] = [];
  #last: CapacityReport | undefined;

  /**
   * Takes in a report. One with absurd values is dropped; returns whether it was taken.
   *
   * @example
   * ```ts
   * const capacity = new GroupCapacity();
   * capacity.note({ at: 0, passMs: 90, load: 100 }); // true
   * capacity.note({ at: 200, passMs: -1, load: 100 }); // false
   * ```
   */
  note(report: CapacityReport): boolean {
    if (!isPlausible(report)) return false;
    const { at, epoch, passMs, load } = report;
    if (epoch !== this.#last?.epoch) this.#samples = [];
    this.#last = report;
    this.#samples = this.#samples.filter((sample) =>
      at - sample.at < COST_MEMORY_MS
    );
    if (passMs !== undefined) this.#samples.push({ at, passMs, load });
    return true;
  }

  /**
   * Load and capacity now; undefined without a recent report, or where even a pass
   * without requests takes too long, so that fewer requests would help nobody.
   *
   * @example
   * ```ts
   * const facts = { now: 100, pauseMs: 150, idlePassMs: 35, slots: 224 };
   * capacity.tryGet(facts)?.capacity; // (0.9 * 150 - 35) / 0.55 = 181.8
   * ```
   */
  tryGet(facts: CapacityFacts): GroupUtilization | undefined {
    const { now, pauseMs, idlePassMs, slots } = facts;
    const last = this.#last;
    if (last === undefined) return undefined;
    const ageMs = now - last.at;
    const workMs = PASS_PART * pauseMs - idlePassMs;
    if (ageMs > REPORT_LIMIT_MS || workMs <= 0) return undefined;
    const costMs = this.#highestCost(facts);
    const capacity = costMs > 0 ? Math.min(slots, workMs / costMs) : slots;
    return { load: last.load, capacity, ageMs };
  }

  /** Highest milliseconds by which one request made a pass longer lately. */
  #highestCost({ now, idlePassMs, slots }: CapacityFacts): number {
    let highest = 0;
    for (const { at, passMs, load } of this.#samples) {
      const isOld = now - at >= COST_MEMORY_MS;
      if (isOld || load < LEAST_SAMPLED_PART * slots) continue;
      highest = Math.max(highest, (passMs - idlePassMs) / load);
    }
    return highest;
  }
}

function isPlausible({ passMs, load }: CapacityReport): boolean {
  const isPass = passMs === undefined ||
    (passMs > 0 && passMs <= LONGEST_PASS_MS);
  return isPass && load >= 0 && load <= LARGEST_LOAD;
}
