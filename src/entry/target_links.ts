/**
 * Interfaces through which an entry sends messages to its targets.
 *
 * @module
 */
import type { CancelMessage, SubmitMessage } from "../messages/types.ts";

/** Identifies one attempt at a target. */
export type AttemptId = Pick<SubmitMessage, "requestId" | "attempt">;

/** Pauses and resumes reading the answers of attempts. */
export interface PausableAnswers {
  /** Stops reading the answer until it is resumed. */
  pause(attempt: AttemptId): void;
  /** Continues reading the answer. */
  resume(attempt: AttemptId): void;
  /** Returns the bytes of a paused attempt's answer that this process buffers unread. */
  getUnreadBytes(attempt: AttemptId): number;
}

/** Sends messages to one target. */
export interface TargetLink {
  send(message: SubmitMessage | CancelMessage): void;
  /** Undefined if one connection carries the answers of several attempts. */
  readonly answers?: PausableAnswers;
}

/** Finds the link to a target. */
export interface TargetLinks {
  /** Returns the link to a target; undefined if there is none now. */
  tryLink(targetName: string): TargetLink | undefined;
}
