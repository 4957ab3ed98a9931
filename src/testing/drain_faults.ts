/**
 * Faults of a fleet of entries that learn of a drain, and when they occur.
 *
 * @module
 */

/** A fault of an entry, or of the store as all entries see it. */
export interface DrainFault {
  readonly kind:
    | "unstable_store"
    | "store_goes_back"
    | "silent_watch"
    | "stands_still"
    | "cut_off";
  /** Number of the entry, from 0; undefined for faults of the store. */
  readonly entry?: number;
  readonly at: number;
  readonly forMs: number;
}

/** The kind, entry and time for which faults are looked up. */
export interface FaultQuery extends Pick<DrainFault, "kind" | "entry"> {
  /** Virtual milliseconds. */
  readonly now: number;
}

/**
 * Returns whether a fault is active at a time.
 *
 * @example
 * ```ts
 * isFaultActive(faults, { kind: "cut_off", entry: 0, now: 4000 });
 * ```
 */
export function isFaultActive(
  faults: readonly DrainFault[],
  { kind, entry, now }: FaultQuery,
): boolean {
  return faults.some((fault) =>
    fault.kind === kind && fault.entry === entry &&
    now >= fault.at && now < fault.at + fault.forMs
  );
}
