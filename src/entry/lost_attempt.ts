/**
 * Records of attempts that ended without an answer, and of crashes of their targets.
 *
 * @module
 */

/** An attempt that ended without an answer and may have run. */
export interface LostAttempt {
  readonly digest: string;
  /** Identifiers of the shared parts of its prompt. */
  readonly partIds: readonly string[];
  readonly target: string;
  readonly organisation: string;
  readonly path: string;
  readonly sentAt: number;
  /** When the target was last known to be running, in milliseconds. */
  readonly aliveAt: number;
  readonly endedAt: number;
}

/** A lost attempt whose target has crashed. */
export interface RecordedCrash extends LostAttempt {
  /** Milliseconds for which the request is refused from now on; 0: it may run. */
  readonly refusedMs: number;
}
