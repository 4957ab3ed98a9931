/**
 * What goes wrong in a fleet of entries that hear of a drain, and when.
 *
 * @module
 */

/** What happens to an entry, or to the store towards all of them. */
export interface DrainFault {
  readonly kind:
    | "unstable_store"
    | "store_goes_back"
    | "silent_watch"
    | "stands_still"
    | "cut_off";
  /** Which entry, from 0; of the store's faults undefined. */
  readonly entry?: number;
  readonly at: number;
  readonly forMs: number;
}

/** A kind of fault at a moment. */
export interface FaultMoment extends Pick<DrainFault, "kind" | "entry"> {
  /** Virtual milliseconds. */
  readonly now: number;
}

/**
 * Whether something goes wrong at a moment.
 *
 * @example
 * ```ts
 * hasFault(faults, { kind: "cut_off", entry: 0, now: 4000 });
 * ```
 */
export function hasFault(
  faults: readonly DrainFault[],
  { kind, entry, now }: FaultMoment,
): boolean {
  return faults.some((fault) =>
    fault.kind === kind && fault.entry === entry &&
    now >= fault.at && now < fault.at + fault.forMs
  );
}
