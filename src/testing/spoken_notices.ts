/**
 * What targets say of themselves with their answers over a run: limits, backoffs, and that they
 * leave.
 *
 * @module
 */
import type { AttemptMessage } from "../messages/types.ts";
import {
  type AttemptPlace,
  createEmptyAnswer,
  createNotice,
  createRefused,
} from "./fixtures.ts";

/** A target names another limit, or none. */
export interface LimitChange {
  /** Milliseconds since callers came. */
  readonly at: number;
  /** Number of the target, from 0. */
  readonly target: number;
  /** Requests a second; undefined: its limit ends. */
  readonly perSecond: number | undefined;
}

/** A target turns all requests away for a while. */
export interface Refusing {
  /** Milliseconds since callers came. */
  readonly from: number;
  readonly to: number;
  /** Number of the target, from 0. */
  readonly target: number;
  /** Milliseconds of the backoff that it asks for. */
  readonly askedMs: number;
}

/** A target says from a moment on that it leaves. */
export interface SaidLeaving {
  /** Milliseconds since callers came. */
  readonly at: number;
  /** Number of the target, from 0. */
  readonly target: number;
}

/** What targets say over a run. */
export interface NoticePlan {
  readonly changes: readonly LimitChange[];
  readonly refusing?: readonly Refusing[];
  readonly leaving?: readonly SaidLeaving[];
}

/** Answers requests as targets that say something of themselves. */
export class SpokenNotices {
  readonly #plan: NoticePlan;

  /** Says what the plan has. */
  constructor(plan: NoticePlan) {
    this.#plan = plan;
  }

  /** The messages with which a target answers; `at` in milliseconds since callers came. */
  answer(
    place: AttemptPlace,
    target: number,
    at: number,
  ): readonly AttemptMessage[] {
    const refusing = this.#plan.refusing?.find((one) =>
      one.target === target && one.from <= at && at < one.to
    );
    if (refusing !== undefined) {
      const milliseconds = refusing.askedMs;
      const notice = createNotice({
        backoff: { kind: "backoff", milliseconds },
      });
      return [{ ...createRefused(place, "BACK_END_FULL"), notice }];
    }
    const notice = createNotice({
      rateLimit: this.#limitOf(target, at),
      leaving: this.#leavingOf(target, at),
    });
    return createEmptyAnswer(place).map((message) => ({ ...message, notice }));
  }

  #limitOf(target: number, at: number) {
    const change = this.#plan.changes.findLast((one) =>
      one.target === target && one.at <= at
    );
    return change?.perSecond === undefined
      ? { kind: "none" } as const
      : { kind: "limit", perSecond: change.perSecond } as const;
  }

  #leavingOf(target: number, at: number) {
    const hasSaid = this.#plan.leaving?.some((one) =>
      one.target === target && one.at <= at
    );
    return hasSaid === true
      ? { kind: "leaving" } as const
      : { kind: "none" } as const;
  }
}
