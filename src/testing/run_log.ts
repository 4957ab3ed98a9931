/**
 * Records when targets started runs, and for which entries.
 *
 * @module
 */

/** One run that a target started. */
export interface RunRecord {
  readonly target: number;
  readonly entry: number;
  /** Milliseconds of the virtual clock. */
  readonly at: number;
}

/** The runs that targets have started. */
export class RunLog {
  readonly #times: RunRecord[] = [];

  /** Records the start of a run. */
  record(time: RunRecord): void {
    this.#times.push(time);
  }

  /** Returns the number of runs that a target has started for an entry. */
  countRuns(target: number, entry: number): number {
    return this.#times.filter((one) =>
      one.target === target && one.entry === entry
    ).length;
  }

  /** Returns when a target last started a run. */
  getLastStart(target: number): number {
    const times = this.#times.filter((one) => one.target === target)
      .map((one) => one.at);
    return Math.max(Number.NEGATIVE_INFINITY, ...times);
  }
}
