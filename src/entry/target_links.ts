/**
 * The way from an entry to its targets.
 *
 * @module
 */
import type { CancelMessage, SubmitMessage } from "../messages/types.ts";

/** One attempt at a target. */
export type AttemptName = Pick<SubmitMessage, "requestId" | "attempt">;

/** The answer of an attempt, where reading it can be paused. */
export interface PausableAnswers {
  /** Reads no more of the answer until it is resumed. */
  pause(attempt: AttemptName): void;
  /** Reads on. */
  resume(attempt: AttemptName): void;
  /** Bytes that the process holds unread of the answer of a paused attempt. */
  getUnreadBytes(attempt: AttemptName): number;
}

/** Takes the messages for one target. */
export interface TargetLink {
  send(message: SubmitMessage | CancelMessage): void;
  /** Undefined where one connection carries the answers of many attempts. */
  readonly answers?: PausableAnswers;
}

/** Finds the way to a target. */
export interface TargetLinks {
  /** The way to a target; undefined when there is none now. */
  tryLink(targetName: string): TargetLink | undefined;
}
