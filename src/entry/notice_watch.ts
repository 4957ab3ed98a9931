/**
 * Processes the notices that targets send with their answers, and those that other
 * entries replicate: rate limits, backoffs, and announcements that a target leaves.
 *
 * @module
 */
import type {
  BackEndNotice,
  BackoffNotice,
  LeavingNotice,
  RateLimitNotice,
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
  createBackoffEndedRecord,
  createBackoffRecord,
  createLeavingRecord,
  createLimitRecord,
  createUnreadableRecord,
} from "./notice_records.ts";
import type { TargetRecord } from "./target_record.ts";
import type {
  EntryEffect,
  LeavingTargetsReceived,
  LimitsReceived,
  LogDecision,
  ReplicatedStateChanged,
} from "./types.ts";

const REPLICATED_STATE_CHANGED: ReplicatedStateChanged = {
  kind: "memories_changed",
};

/** The request and target of an answer, and when it arrived. */
export interface AnswerContext {
  readonly inFlight: InFlightRequest;
  readonly target: TargetRecord;
  readonly now: number;
}

/** Numbers of notices that could not be parsed, by the kind of notice. */
export type UnreadableCounts = ReadonlyMap<keyof BackEndNotice, number>;

/** Processes the notices of targets. */
export class NoticeWatch {
  readonly limits = new TargetLimits();
  readonly backoffs = new TargetBackoffs();
  readonly leaving: LeavingTargets;
  readonly #unreadable = new Map<keyof BackEndNotice, number>();

  /** Creates a watch that records leaving targets in `leaving`. */
  constructor(leaving: LeavingTargets) {
    this.leaving = leaving;
  }

  /** Notices that could not be parsed since the process started. */
  get unreadable(): UnreadableCounts {
    return this.#unreadable;
  }

  /**
   * Records the notices of an answer; returns the effects of those that changed anything.
   */
  recordNotices(
    message: AttemptMessage,
    context: AnswerContext,
  ): readonly EntryEffect[] {
    if (!canCarryNotice(message) || message.notice === undefined) return [];
    const { rateLimit, backoff, leaving } = message.notice;
    return [
      ...this.#recordLimit(rateLimit, context),
      ...this.#recordBackoff(backoff, context),
      ...this.#recordLeaving(leaving, context),
    ];
  }

  /** Merges the limits that another entry replicated. */
  mergeLimits({ limits, now }: LimitsReceived): readonly EntryEffect[] {
    const updates = this.limits.merge(limits, now);
    if (updates.length === 0) return [];
    const records = updates.map((limit) =>
      createLimitRecord(limit, { source: "entry", now })
    );
    return [...records, REPLICATED_STATE_CHANGED];
  }

  /** Merges the leaving targets that another entry replicated. */
  mergeLeaving(
    { targets, now }: LeavingTargetsReceived,
  ): readonly EntryEffect[] {
    const updates = this.leaving.merge(targets, now);
    if (updates.length === 0) return [];
    const records = updates.map(({ target, knownAt }) =>
      createLeavingRecord(target, { source: "entry", ageMs: now - knownAt })
    );
    return [...records, REPLICATED_STATE_CHANGED];
  }

  /** Returns log records of the backoffs that have ended by `now`. */
  advanceTo(now: number): readonly LogDecision[] {
    return this.backoffs.takeEnded(now).map((backoff) =>
      createBackoffEndedRecord(backoff, now)
    );
  }

  #recordLimit(
    notice: RateLimitNotice,
    { inFlight, target: { name: target }, now }: AnswerContext,
  ): readonly EntryEffect[] {
    if (notice.kind === "unreadable") {
      return [this.#createUnreadableRecord("rateLimit", target, notice.text)];
    }
    const perSecond = notice.kind === "limit" ? notice.perSecond : undefined;
    const sentAt = inFlight.attemptStartedAt;
    const update = this.limits.record({ target, perSecond, sentAt, now });
    if (update === undefined) return [];
    return [
      createLimitRecord(update, { source: "answer", now }),
      REPLICATED_STATE_CHANGED,
    ];
  }

  #recordBackoff(
    notice: BackoffNotice,
    { inFlight, target: { name: target }, now }: AnswerContext,
  ): readonly EntryEffect[] {
    switch (notice.kind) {
      case "none":
        return [];
      case "unreadable":
        return [this.#createUnreadableRecord("backoff", target, notice.text)];
      case "backoff": {
        const askedMs = notice.milliseconds;
        const update = this.backoffs.record({ target, askedMs, now });
        if (update === undefined) return [];
        return [createBackoffRecord(inFlight.request, update, now)];
      }
    }
  }

  #recordLeaving(
    notice: LeavingNotice,
    { target: { name: target }, now }: AnswerContext,
  ): readonly EntryEffect[] {
    switch (notice.kind) {
      case "none":
        return [];
      case "unreadable":
        return [this.#createUnreadableRecord("leaving", target, notice.text)];
      case "leaving": {
        if (!this.leaving.record(target, now)) return [];
        const record = createLeavingRecord(target, {
          source: "answer",
          ageMs: 0,
        });
        return [record, REPLICATED_STATE_CHANGED];
      }
    }
  }

  #createUnreadableRecord(
    notice: keyof BackEndNotice,
    target: string,
    text: string,
  ): LogDecision {
    this.#unreadable.set(notice, (this.#unreadable.get(notice) ?? 0) + 1);
    return createUnreadableRecord({ notice, target, text });
  }
}

/** Whether a message may carry notices: the head of an answer, or a refusal. */
function canCarryNotice(
  message: AttemptMessage,
): message is AnswerHeadMessage | RefusedMessage {
  return message.kind === "answer_head" || message.kind === "refused";
}
