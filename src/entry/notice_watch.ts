/**
 * Hears what targets say of themselves with their answers, and what other entries heard:
 * limits, backoffs, and that they leave.
 *
 * @module
 */
import type {
  BackEndNotice,
  BackoffWord,
  LeavingWord,
  RateLimitWord,
} from "../messages/back_end_notice.ts";
import type {
  AnswerHeadMessage,
  AttemptMessage,
  RefusedMessage,
} from "../messages/types.ts";
import type { LeavingTargets } from "../policy/leaving_targets.ts";
import { TargetBackoffs } from "../policy/target_backoffs.ts";
import { TargetLimits } from "../policy/target_limits.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import {
  createBackoffEndedNote,
  createBackoffNote,
  createLeavingNote,
  createLimitNote,
  createUnreadableNote,
} from "./notice_notes.ts";
import type { TargetRecord } from "./target_record.ts";
import type {
  EntryEffect,
  LeavingTold,
  LimitsTold,
  LogDecision,
  MemoriesChanged,
} from "./types.ts";

const MEMORIES_CHANGED: MemoriesChanged = { kind: "memories_changed" };

/** Where an answer came from, and when. */
export interface AnswerPlace {
  readonly inFlight: InFlightRequest;
  readonly target: TargetRecord;
  readonly now: number;
}

/** Words that could not be understood, by what they should have said. */
export type UnreadableCounts = ReadonlyMap<keyof BackEndNotice, number>;

/** Hears what targets say of themselves. */
export class NoticeWatch {
  readonly limits = new TargetLimits();
  readonly backoffs = new TargetBackoffs();
  readonly leaving: LeavingTargets;
  readonly #unreadable = new Map<keyof BackEndNotice, number>();

  /** Remembers in `leaving` who leaves. */
  constructor(leaving: LeavingTargets) {
    this.leaving = leaving;
  }

  /** Words that could not be understood, over the life of the process. */
  get unreadable(): UnreadableCounts {
    return this.#unreadable;
  }

  /** A target answered; what it says of itself may be news. */
  noteAnswer(
    message: AttemptMessage,
    place: AnswerPlace,
  ): readonly EntryEffect[] {
    if (!isHead(message) || message.notice === undefined) return [];
    const { rateLimit, backoff, leaving } = message.notice;
    return [
      ...this.#noteLimit(rateLimit, place),
      ...this.#noteBackoff(backoff, place),
      ...this.#noteLeaving(leaving, place),
    ];
  }

  /** Another entry told which limits it remembers. */
  noteLimitsTold({ limits, now }: LimitsTold): readonly EntryEffect[] {
    const news = this.limits.merge(limits, now);
    if (news.length === 0) return [];
    const notes = news.map((limit) =>
      createLimitNote(limit, { source: "entry", now })
    );
    return [...notes, MEMORIES_CHANGED];
  }

  /** Another entry told which targets it knows to leave. */
  noteLeavingTold({ targets, now }: LeavingTold): readonly EntryEffect[] {
    const news = this.leaving.merge(targets, now);
    if (news.length === 0) return [];
    const notes = news.map(({ target, knownAt }) =>
      createLeavingNote(target, { source: "entry", ageMs: now - knownAt })
    );
    return [...notes, MEMORIES_CHANGED];
  }

  /** Time passed. */
  noteTime(now: number): readonly LogDecision[] {
    return this.backoffs.takeEnded(now).map((backoff) =>
      createBackoffEndedNote(backoff, now)
    );
  }

  #noteLimit(
    word: RateLimitWord,
    { inFlight, target: { name: target }, now }: AnswerPlace,
  ): readonly EntryEffect[] {
    if (word.kind === "unreadable") {
      return [this.#createUnreadableNote("rateLimit", target, word.text)];
    }
    const perSecond = word.kind === "limit" ? word.perSecond : undefined;
    const sentAt = inFlight.attemptStartedAt;
    const news = this.limits.note({ target, perSecond, sentAt, now });
    if (news === undefined) return [];
    return [createLimitNote(news, { source: "answer", now }), MEMORIES_CHANGED];
  }

  #noteBackoff(
    word: BackoffWord,
    { inFlight, target: { name: target }, now }: AnswerPlace,
  ): readonly EntryEffect[] {
    switch (word.kind) {
      case "none":
        return [];
      case "unreadable":
        return [this.#createUnreadableNote("backoff", target, word.text)];
      case "backoff": {
        const askedMs = word.milliseconds;
        const news = this.backoffs.note({ target, askedMs, now });
        if (news === undefined) return [];
        return [createBackoffNote(inFlight.request, news, now)];
      }
    }
  }

  #noteLeaving(
    word: LeavingWord,
    { target: { name: target }, now }: AnswerPlace,
  ): readonly EntryEffect[] {
    switch (word.kind) {
      case "none":
        return [];
      case "unreadable":
        return [this.#createUnreadableNote("leaving", target, word.text)];
      case "leaving": {
        if (!this.leaving.note(target, now)) return [];
        const note = createLeavingNote(target, { source: "answer", ageMs: 0 });
        return [note, MEMORIES_CHANGED];
      }
    }
  }

  #createUnreadableNote(
    word: keyof BackEndNotice,
    target: string,
    text: string,
  ): LogDecision {
    this.#unreadable.set(word, (this.#unreadable.get(word) ?? 0) + 1);
    return createUnreadableNote({ word, target, text });
  }
}

/** Targets speak of themselves at the head of an answer, or where the work is not done. */
function isHead(
  message: AttemptMessage,
): message is AnswerHeadMessage | RefusedMessage {
  return message.kind === "answer_head" || message.kind === "refused";
}
