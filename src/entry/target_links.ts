/**
 * The way from an entry to its targets.
 *
 * @module
 */
import type { CancelMessage, SubmitMessage } from "../messages/types.ts";

/** Takes the messages for one target. */
export interface TargetLink {
  send(message: SubmitMessage | CancelMessage): void;
}

/** Finds the way to a target. */
export interface TargetLinks {
  /** The way to a target; undefined when there is none now. */
  tryLink(targetName: string): TargetLink | undefined;
}
