/**
 * Events of the shutdown of an entry.
 *
 * @module
 */

/** The process was asked to shut down. */
export interface EntryShutdownPlanned {
  readonly kind: "shutdown_planned";
  readonly now: number;
  /** When the process ends at the latest, in milliseconds. */
  readonly endAt: number;
}

/** The process accepts no further requests. */
export interface EntryDrainRequested {
  readonly kind: "drain_requested";
  readonly now: number;
}

/** The process ends now, whether all requests have ended or not. */
export interface EntryShutdownEnded {
  readonly kind: "shutdown_ended";
  readonly now: number;
}

/** Every event of the shutdown of an entry. */
export type ShutdownEvent =
  | EntryShutdownPlanned
  | EntryDrainRequested
  | EntryShutdownEnded;
