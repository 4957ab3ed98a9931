/**
 * What the log says of what targets say of themselves.
 *
 * @module
 */
import type { EventName } from "../events/catalogue.ts";
import type { BackEndNotice } from "../messages/back_end_notice.ts";
import type { Backoff } from "../policy/target_backoffs.ts";
import type { TargetLimit } from "../policy/target_limits.ts";
import type { CallerRequest, LogDecision } from "./types.ts";

/** Who said something of a target. */
export type NoticeSource = "answer" | "entry";

/** A target named another limit, or none any more. */
export function createLimitNote(
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

/** A target asked for a backoff, or for a longer one than before. */
export function createBackoffNote(
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

/** The backoff of a target is over. */
export function createBackoffEndedNote(
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

/** A target said that it leaves. */
export function createLeavingNote(
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

/** A target said something of itself that cannot be understood. */
export function createUnreadableNote(
  { word, target, text }: {
    readonly word: keyof BackEndNotice;
    readonly target: string;
    readonly text: string;
  },
): LogDecision {
  return {
    kind: "log_decision",
    name: UNREADABLE_EVENTS[word],
    details: { target, text },
  };
}
