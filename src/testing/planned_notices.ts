/**
 * Plans the notices that targets send with their answers during a run: rate limits,
 * backoffs, and that they are leaving.
 *
 * @module
 */
import type { AttemptMessage } from "../messages/types.ts";
import {
  type AttemptIdentity,
  createEmptyAnswer,
  createNotice,
  createRefused,
} from "./fixtures.ts";

/** A target announces another limit, or that it has none. */
export interface LimitChange {
  /** Milliseconds since callers started. */
  readonly at: number;
  /** Number of the target, from 0. */
  readonly target: number;
  /** Requests per second; undefined: the limit ends. */
  readonly perSecond: number | undefined;
}

/** A period in which a target rejects all requests. */
export interface RejectionPeriod {
  /** Milliseconds since callers started. */
  readonly from: number;
  readonly to: number;
  /** Number of the target, from 0. */
  readonly target: number;
  /** Milliseconds of the backoff that the target requests. */
  readonly askedMs: number;
}

/** A time from which a target announces that it is leaving. */
export interface LeavingAnnouncement {
  /** Milliseconds since callers started. */
  readonly at: number;
  /** Number of the target, from 0. */
  readonly target: number;
}

/** The notices that targets send during a run. */
export interface NoticePlan {
  readonly changes: readonly LimitChange[];
  readonly rejections?: readonly RejectionPeriod[];
  readonly leaving?: readonly LeavingAnnouncement[];
}

/** Answers requests with the notices of a plan. */
export class PlannedNotices {
  readonly #plan: NoticePlan;

  /** Creates answers according to the plan. */
  constructor(plan: NoticePlan) {
    this.#plan = plan;
  }

  /**
   * Returns the messages with which a target answers; `at` is in milliseconds since
   * callers started.
   */
  answer(
    attemptId: AttemptIdentity,
    target: number,
    at: number,
  ): readonly AttemptMessage[] {
    const rejection = this.#plan.rejections?.find((one) =>
      one.target === target && one.from <= at && at < one.to
    );
    if (rejection !== undefined) {
      const milliseconds = rejection.askedMs;
      const notice = createNotice({
        backoff: { kind: "backoff", milliseconds },
      });
      return [{ ...createRefused(attemptId, "BACK_END_FULL"), notice }];
    }
    const notice = createNotice({
      rateLimit: this.#getRateLimit(target, at),
      leaving: this.#getLeaving(target, at),
    });
    return createEmptyAnswer(attemptId).map((message) => ({
      ...message,
      notice,
    }));
  }

  #getRateLimit(target: number, at: number) {
    const change = this.#plan.changes.findLast((one) =>
      one.target === target && one.at <= at
    );
    return change?.perSecond === undefined
      ? { kind: "none" } as const
      : { kind: "limit", perSecond: change.perSecond } as const;
  }

  #getLeaving(target: number, at: number) {
    const hasAnnounced = this.#plan.leaving?.some((one) =>
      one.target === target && one.at <= at
    );
    return hasAnnounced === true
      ? { kind: "leaving" } as const
      : { kind: "none" } as const;
  }
}
