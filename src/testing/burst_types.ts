/**
 * The vocabulary of the model in which bursts of requests of different urgency meet a
 * rank group.
 *
 * @module
 */

/** Kinds of requests, most urgent first: each has a service of its own. */
export const KINDS = [
  { name: "first", priority: 3, share: 0.28, worth: 3.1, lateWorth: 0.3 },
  { name: "middle", priority: 5, share: 0.34, worth: 1.6, lateWorth: 0.41 },
  { name: "last", priority: 7, share: 0.38, worth: 0.8, lateWorth: 0.3 },
] as const;

/** Milliseconds that callers bear: to the first piece, between pieces, and in all. */
export const OBJECTIVE_MS = 400;
export const PAUSE_MS = 150;
export const DEADLINE_MS = 8000;

/** Organisations: one sends a third, one a sixth, and the others the rest alike. */
export const ORGANISATIONS = 24;

/** What became of a caller's request. */
export type CallOutcome = "on_time" | "late" | "unserved";

/** A request of which a caller has heard the last. */
export interface EndedCall {
  /** Place in {@link KINDS}. */
  readonly kind: number;
  readonly organisation: number;
  readonly sentAt: number;
  readonly outcome: CallOutcome;
}

/** More requests of one kind for some time. */
export interface Burst {
  /** Place in {@link KINDS}. */
  readonly kind: number;
  readonly factor: number;
  readonly from: number;
  readonly until: number;
}
