/**
 * Estimates tokens per expert and speeds of ranks from reports that may be late or
 * incomplete.
 *
 * @module
 */
import type { LayerLoad } from "./types.ts";

/** A report of one layer for one interval. */
export interface LayerReport {
  /** Tokens a step for each expert; undefined where the report is missing. */
  readonly tokens: readonly (number | undefined)[];
  /** Time of each rank relative to a rank of usual speed, if reported. */
  readonly slowdowns: readonly (number | undefined)[];
}

/** Weights of the newest interval. */
const TOKEN_SMOOTHING = 0.4;
const SPEED_SMOOTHING = 0.5;
/**
 * Relative change of the whole layer after which older intervals are discarded, so that a
 * sudden shift is not averaged over several intervals.
 */
const SHIFT_THRESHOLD = 0.25;

/** Estimates the load of one layer. */
export class LoadEstimator {
  #tokens: number[];
  readonly #speeds: number[];

  /** Starts with an even load and ranks of usual speed. */
  constructor(experts: number, ranks: number) {
    this.#tokens = new Array<number>(experts).fill(0);
    this.#speeds = new Array<number>(ranks).fill(1);
  }

  /** The estimated load. */
  get load(): LayerLoad {
    return { tokens: [...this.#tokens], speeds: [...this.#speeds] };
  }

  /**
   * Updates the estimates with the report of an interval.
   *
   * @example
   * ```ts
   * estimator.observe(report);
   * const planned = planner.plan(placement, estimator.load);
   * ```
   */
  observe(report: LayerReport): void {
    const weight = this.#isShift(report) ? 1 : TOKEN_SMOOTHING;
    this.#tokens = this.#tokens.map((previous, expert) => {
      const observed = report.tokens[expert];
      return observed === undefined
        ? previous
        : previous + weight * (observed - previous);
    });
    for (const [rank, slowdown] of report.slowdowns.entries()) {
      if (slowdown === undefined || slowdown <= 0) continue;
      const previous = this.#speeds[rank] as number;
      const observed = 1 / slowdown;
      this.#speeds[rank] = previous + SPEED_SMOOTHING * (observed - previous);
    }
  }

  #isShift(report: LayerReport): boolean {
    let change = 0;
    let total = 0;
    for (const [expert, observed] of report.tokens.entries()) {
      if (observed === undefined) continue;
      change += Math.abs(observed - (this.#tokens[expert] as number));
      total += observed;
    }
    return change > SHIFT_THRESHOLD * total;
  }
}
