/**
 * Creates log records for the notices that targets send of their own state.
 *
 * @module
 */
import type { EventName } from "../events/catalogue.ts";
import type { BackEndNotice } from "../messages/back_end_notice.ts";
import type { Backoff } from "../policy/target_backoffs.ts";
import type { TargetLimit } from "../policy/target_limits.ts";
import type { CallerRequest, LogDecision } from "./types.ts";

/** Where a notice of a target came from: its own answer, or another entry. */
export type NoticeSource = "answer" | "entry";

/** Creates the record that a target named a different rate limit, or none any more. */
export function createLimitRecord(
  { target, perSecond, version, heardAt }: TargetLimit,
  { source, now }: { readonly source: NoticeSource; readonly now: number },
): LogDecision {
  const ageMs = Math.round(now - heardAt);
  return {
    kind: "log_decision",
    name: "TARGET_LIMITED",
    details: { target, perSecond, version, source, ageMs },
  };
}

/** Creates the record that a target requested a backoff, or a longer one than before. */
export function createBackoffRecord(
  { id, correlationId }: CallerRequest,
  { target, askedMs, since, until }: Backoff,
  now: number,
): LogDecision {
  return {
    kind: "log_decision",
    name: "TARGET_BACKS_OFF",
    details: {
      request: id,
      correlation: correlationId,
      target,
      askedMs: Math.round(askedMs),
      leftMs: Math.round(until - now),
      sinceMs: Math.round(now - since),
    },
  };
}

/** Creates the record that the backoff of a target has ended. */
export function createBackoffEndedRecord(
  { target, askedMs, since, until }: Backoff,
  now: number,
): LogDecision {
  return {
    kind: "log_decision",
    name: "TARGET_RETURNS",
    details: {
      target,
      askedMs: Math.round(askedMs),
      backoffMs: Math.round(until - since),
      ageMs: Math.round(now - until),
    },
  };
}

/** Creates the record that a target announced that it leaves. */
export function createLeavingRecord(
  target: string,
  { source, ageMs }: { readonly source: NoticeSource; readonly ageMs: number },
): LogDecision {
  return {
    kind: "log_decision",
    name: "TARGET_SAYS_LEAVING",
    details: { target, source, ageMs: Math.round(ageMs) },
  };
}

const UNREADABLE_EVENTS: Readonly<Record<keyof BackEndNotice, EventName>> = {
  rateLimit: "LIMIT_UNREADABLE",
  backoff: "BACKOFF_UNREADABLE",
  leaving: "LEAVING_UNREADABLE",
};

/** Creates the record that a notice of a target could not be parsed. */
export function createUnreadableRecord(
  { notice, target, text }: {
    readonly notice: keyof BackEndNotice;
    readonly target: string;
    readonly text: string;
  },
): LogDecision {
  return {
    kind: "log_decision",
    name: UNREADABLE_EVENTS[notice],
    details: { target, text },
  };
}
