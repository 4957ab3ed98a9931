/**
 * Determines how long a request may wait at an entry, and after which delay the caller of
 * a refused request should retry.
 *
 * Both follow from what the caller can still use. A caller leaves at its deadline, and
 * callers of some services leave earlier if they hear nothing. The answer itself takes
 * some time, so a request that is sent later than that time before the caller leaves is
 * lost. Until then a target may become available at any moment, and a request that waits
 * here is sent to it at once, whereas a caller that was refused is away until it retries.
 * A request therefore waits as long as it can still be answered, and is refused as soon
 * as it is known that it cannot.
 *
 * Nothing distinguishes a caller's retry from its first attempt: an earlier attempt has
 * used up a part of the deadline, and that is all that matters for the next one.
 *
 * @module
 */
import type { AnswerTime } from "./answer_times.ts";
import { PERMIT_TIMEOUT_MS } from "./send_permits.ts";

/** Why a request cannot be sent to a target now. */
export type UnavailabilityReason =
  /** All targets that could serve it are known to be lost, for an unknown time. */
  | "outage"
  /** No connection to a target that could serve it has been established lately. */
  | "unreachable"
  /** All targets that could serve it are frozen, and none is known to be lost. */
  | "stall"
  /** No target is listed; lists change within a second. */
  | "absence"
  /** Operators drain all targets that could serve it, for an unlimited time. */
  | "drain"
  /** Targets have as much work as they can finish in time. */
  | "overload"
  /** All targets that could serve it have announced limits, which are used up. */
  | "limit"
  /** All targets that could serve it have requested a backoff with a known end. */
  | "backoff"
  /** It is refused until a known time, whichever targets are available. */
  | "refusal"
  /** Only one known target may run it, and that target is unreachable. */
  | "owner_away";

/** When the caller of a request leaves. All times are in milliseconds. */
export interface CallerPatience {
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Time after which the caller leaves if it hears nothing; undefined: its deadline. */
  readonly silenceLimitMs: number | undefined;
}

/** A request that cannot be sent to a target now. */
export interface UnservedRequest {
  readonly cause: UnavailabilityReason;
  /** Milliseconds after which a target may accept it, if known. */
  readonly freeInMs?: number;
  readonly patience: CallerPatience;
  /** How long answers of its service usually take. */
  readonly answerTime: UsualAnswerTime;
}

/** When a retry delay is computed, and for which of the refused callers. */
export interface RetryContext {
  readonly now: number;
  /** Position of the caller among those that are refused, from 0 to 1. */
  readonly spreadFraction: number;
}

/** The times of an answer that decide how long its request can wait. */
export type UsualAnswerTime = Pick<AnswerTime, "firstChunkMs" | "wholeMs">;

/**
 * Milliseconds between the caller's clock and ours: the caller measures its time from
 * when it sent the request, and the answer has to reach it.
 */
const ROUND_TRIP_MARGIN_MS = 60;
/** Fraction of the remaining time up to which callers honour a retry delay. */
const HONOURED_FRACTION = 1 / 3;
/** Fraction of a retry delay over which the retries of callers are spread. */
const RETRY_SPREAD = 0.25;
/** Milliseconds after which one of many slots is free again, as work ends. */
const OVERLOAD_RETRY_DELAY_MS = 1000;

/**
 * Causes that are known to last: they end only when the platform or an operator has
 * replaced or restored something. A caller that is refused at once has all of its time
 * left to return after that.
 */
const LASTING_CAUSES: ReadonlySet<UnavailabilityReason> = new Set([
  "outage",
  "owner_away",
  "drain",
  "refusal",
]);

/**
 * Returns the latest time at which a request can be sent to a target so that its caller
 * is usually answered before it leaves, in milliseconds.
 *
 * @example
 * ```ts
 * const patience = { arrivedAt: 0, deadlineAt: 8000, silenceLimitMs: 2000 };
 * getLatestStartAt(patience, { firstChunkMs: 200, wholeMs: 1500 }); // 1740
 * ```
 */
export function getLatestStartAt(
  { arrivedAt, deadlineAt, silenceLimitMs = Infinity }: CallerPatience,
  { firstChunkMs, wholeMs }: UsualAnswerTime,
): number {
  const beforeSilenceLimit = arrivedAt + silenceLimitMs - firstChunkMs;
  const beforeDeadline = deadlineAt - wholeMs;
  return Math.min(beforeSilenceLimit, beforeDeadline) - ROUND_TRIP_MARGIN_MS;
}

/**
 * Returns the time until which a request may wait here for a target, in milliseconds;
 * undefined if it cannot be served by then and is refused immediately.
 *
 * @example
 * ```ts
 * const patience = { arrivedAt: 0, deadlineAt: 8000, silenceLimitMs: 2000 };
 * const answerTime = { firstChunkMs: 200, wholeMs: 1500 };
 * tryGetWaitEndAt({ cause: "stall", patience, answerTime }, 100); // 1740
 * ```
 */
export function tryGetWaitEndAt(
  request: UnservedRequest,
  now: number,
): number | undefined {
  const { cause, freeInMs = 0, patience, answerTime } = request;
  if (LASTING_CAUSES.has(cause)) return undefined;
  // The request waits for another entry's response to a permit request, not for a target.
  if (cause === "limit") {
    return Math.min(now + PERMIT_TIMEOUT_MS, patience.deadlineAt);
  }
  // A caller that knows when to return needs no place here until then.
  if (freeInMs > ROUND_TRIP_MARGIN_MS) return undefined;
  const latestStartAt = getLatestStartAt(patience, answerTime);
  return now + freeInMs < latestStartAt ? latestStartAt : undefined;
}

/**
 * Returns the longest retry delay that callers honour with `leftMs` milliseconds left.
 *
 * @example
 * ```ts
 * getMaxRetryDelayMs(8000); // 2606.7
 * ```
 */
export function getMaxRetryDelayMs(leftMs: number): number {
  return Math.max(0, leftMs * HONOURED_FRACTION - ROUND_TRIP_MARGIN_MS);
}

/**
 * Returns the milliseconds after which the caller of a refused request should retry. Where
 * it is not known when a target will be available, that is about as late as the caller
 * honours: callers retry a few times only, so each retry should reach far, and the next
 * one has a third less time.
 *
 * The retries of callers that are refused at the same moment are spread, as all that wait
 * are refused when their group is found to have lost a rank.
 *
 * @example
 * ```ts
 * const patience = { arrivedAt: 0, deadlineAt: 8000, silenceLimitMs: 2000 };
 * const answerTime = { firstChunkMs: 200, wholeMs: 1500 };
 * const request = { cause: "outage", patience, answerTime } as const;
 * getRetryDelayMs(request, { now: 0, spreadFraction: 0 }); // 2606.7
 * getRetryDelayMs(request, { now: 0, spreadFraction: 1 }); // 1955
 * ```
 */
export function getRetryDelayMs(
  { cause, freeInMs, patience }: UnservedRequest,
  { now, spreadFraction }: RetryContext,
): number {
  // The end is known, so an earlier retry has no benefit, however long the backoff is.
  const hasKnownEnd = cause === "backoff" || cause === "refusal";
  if (hasKnownEnd && freeInMs !== undefined) return freeInMs;
  const longest = getMaxRetryDelayMs(Math.max(0, patience.deadlineAt - now));
  const isLoad = cause === "overload" || cause === "limit";
  if (isLoad && freeInMs !== undefined) return Math.min(longest, freeInMs);
  const latest = isLoad ? Math.min(longest, OVERLOAD_RETRY_DELAY_MS) : longest;
  return latest * (1 - RETRY_SPREAD * spreadFraction);
}
