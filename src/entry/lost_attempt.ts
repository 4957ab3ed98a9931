/**
 * What is kept of an attempt that ended without an answer, and of a target that ended
 * under a request.
 *
 * @module
 */

/** An attempt that ended without an answer, and may have run. */
export interface LostAttempt {
  readonly digest: string;
  readonly target: string;
  readonly organisation: string;
  readonly path: string;
  readonly sentAt: number;
  /** When the target was last known to live, in milliseconds. */
  readonly aliveAt: number;
  readonly endedAt: number;
}

/** A target that ended under a request. */
export interface NotedCrash extends LostAttempt {
  /** Milliseconds for which the request is refused now; 0: it may run. */
  readonly refusedMs: number;
}
