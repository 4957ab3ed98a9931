/**
 * Types and constants of the simulation in which bursts of requests of different
 * priorities reach a rank group.
 *
 * @module
 */

/** Kinds of requests, most urgent first; each has a service of its own. */
export const KINDS = [
  { name: "first", priority: 3, share: 0.28 },
  { name: "middle", priority: 5, share: 0.34 },
  { name: "last", priority: 7, share: 0.38 },
] as const;

/**
 * Objectives of callers in milliseconds: until the first chunk, between chunks, and in
 * total.
 */
export const OBJECTIVE_MS = 400;
export const PAUSE_OBJECTIVE_MS = 150;
export const DEADLINE_MS = 8000;

/**
 * Number of organisations: one sends a third of all requests, one a sixth, and the others
 * equal shares of the rest.
 */
export const ORGANISATIONS = 24;

/** How a caller's request ended. */
export type CallOutcome = "on_time" | "late" | "unserved";

/** A request that has ended. */
export interface EndedCall {
  /** Index in {@link KINDS}. */
  readonly kind: number;
  readonly organisation: number;
  readonly sentAt: number;
  readonly outcome: CallOutcome;
}

/** A higher rate of requests of one kind for some time. */
export interface Burst {
  /** Index in {@link KINDS}. */
  readonly kind: number;
  readonly factor: number;
  readonly from: number;
  readonly until: number;
}
