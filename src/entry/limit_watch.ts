/**
 * Hears of the limits that targets name, from their answers and from other entries.
 *
 * @module
 */
import type {
  AnswerHeadMessage,
  AttemptMessage,
  RefusedMessage,
} from "../messages/types.ts";
import { type TargetLimit, TargetLimits } from "../policy/target_limits.ts";
import {
  createLimitNote,
  createUnreadableLimitNote,
} from "./decision_notes.ts";
import type { EntryEffect, LimitsChanged, LimitsTold } from "./types.ts";

const LIMITS_CHANGED: LimitsChanged = { kind: "limits_changed" };

/** Where an answer came from, and when. */
export interface AnswerPlace {
  readonly target: string;
  /** When its request was sent, in milliseconds. */
  readonly sentAt: number;
  readonly now: number;
}

/** Hears of the limits that targets name. */
export class LimitWatch {
  readonly limits = new TargetLimits();

  /** A target answered; what it says of its limit may be news. */
  noteAnswer(
    message: AttemptMessage,
    { target, sentAt, now }: AnswerPlace,
  ): readonly EntryEffect[] {
    if (!isHead(message)) return [];
    const word = message.rateLimit;
    if (word === undefined) return [];
    if (word.kind === "unreadable") {
      return [createUnreadableLimitNote(target, word.text)];
    }
    const perSecond = word.kind === "limit" ? word.perSecond : undefined;
    const news = this.limits.note({ target, perSecond, sentAt, now });
    if (news === undefined) return [];
    return [createLimitNote(news, { source: "answer", now }), LIMITS_CHANGED];
  }

  /** Another entry told which limits it remembers. */
  noteTold({ limits, now }: LimitsTold): readonly EntryEffect[] {
    const news = this.limits.merge(limits, now);
    if (news.length === 0) return [];
    const toNote = (limit: TargetLimit) =>
      createLimitNote(limit, { source: "entry", now });
    return [...news.map(toNote), LIMITS_CHANGED];
  }
}

/** Limits are named at the head of an answer, or where the work is not done. */
function isHead(
  message: AttemptMessage,
): message is AnswerHeadMessage | RefusedMessage {
  return message.kind === "answer_head" || message.kind === "refused";
}
