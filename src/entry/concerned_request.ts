/**
 * Determines which request an event or an effect of an entry concerns.
 *
 * @module
 */
import type { EntryEffect, EntryEvent } from "./types.ts";

/**
 * Returns the id of the request that an event or effect concerns; undefined if it
 * concerns none, or all.
 *
 * @example
 * ```ts
 * tryGetRequestId({ kind: "finish_answer", requestId: 7 }); // 7
 * ```
 */
export function tryGetRequestId(
  subject: EntryEvent | EntryEffect,
): number | undefined {
  switch (subject.kind) {
    case "request_arrived":
    case "forward_to_scripts":
      return subject.request.id;
    case "send":
      return subject.message.requestId;
    case "message_received": {
      const { message } = subject;
      return "requestId" in message ? message.requestId : undefined;
    }
    default:
      return "requestId" in subject ? subject.requestId : undefined;
  }
}
