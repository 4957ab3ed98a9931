/**
 * When targets began runs, and for which entries.
 *
 * @module
 */

/** One run that a target began. */
export interface RunTime {
  readonly target: number;
  readonly entry: number;
  /** Milliseconds of the virtual clock. */
  readonly at: number;
}

/** When targets began runs, and for which entries. */
export class RunLog {
  readonly #times: RunTime[] = [];

  /** A target began a run. */
  note(time: RunTime): void {
    this.#times.push(time);
  }

  /** Runs that a target has begun for an entry. */
  countAt(target: number, entry: number): number {
    return this.#times.filter((one) =>
      one.target === target && one.entry === entry
    ).length;
  }

  /** When a target last began a run. */
  lastAt(target: number): number {
    const times = this.#times.filter((one) => one.target === target)
      .map((one) => one.at);
    return Math.max(Number.NEGATIVE_INFINITY, ...times);
  }
}
