/**
 * How many permits for a target may come together, and for how long they hold.
 *
 * Within any second a target that warms up may get 1.5 r + 5 requests, where r is its limit.
 * The first entry gives r and a second one 0.25 r; permits live for 0.2 s + 1.5 / r, and up to
 * 2 and 1 of them come at once. The most in one second is
 * 1.25 r (1 + 0.2 + 1.5 / r) + 2 + 1 = 1.5 r + 4.875.
 *
 * @module
 */
import type { SendLimit } from "./send_limits.ts";
import type { TokenBucketOptions } from "./token_bucket.ts";

/** Milliseconds for which a permit holds, from the question for it. */
export const PERMIT_MS = 1000;
/** Requests let through at once, in seconds of the limit; one at least. */
const BURST_SECONDS = 0.25;
/**
 * Lowest rate that is used, in requests a second. With none the target would get no request,
 * and the end of its limit would go unnoticed.
 */
const LEAST_PER_SECOND = 0.1;
/** Most that come at once from the entry that gives the whole of a warm-up limit. */
const WARM_UP_BURST = 2;
/** Most that come at once from an entry that gives a part of a warm-up limit. */
const WARM_UP_PART_BURST = 1;
/** Milliseconds for which a permit for a target that warms up holds, at least. */
const WARM_UP_PERMIT_MS = 200;
/** Permits whose time at the limit's rate is added to that. */
const WARM_UP_PERMITS_KEPT = 1.5;

/**
 * The bucket out of which an entry gives a part of a limit.
 *
 * @example
 * ```ts
 * bucket.setOptions(getBucketOptions(limit, 0.25), now);
 * ```
 */
export function getBucketOptions(
  limit: SendLimit | undefined,
  part: number,
): TokenBucketOptions {
  const given = Math.max(LEAST_PER_SECOND, limit?.perSecond ?? 0) * part;
  const burst = Math.max(1, given * BURST_SECONDS);
  if (limit?.isWarmUp !== true) return { perSecond: given, burst };
  const most = part === 1 ? WARM_UP_BURST : WARM_UP_PART_BURST;
  return { perSecond: given, burst: Math.min(burst, most) };
}

/**
 * Milliseconds for which a permit holds, from the question for it.
 *
 * @example
 * ```ts
 * const until = askedAt + getPermitMs(limits.tryGet(target));
 * ```
 */
export function getPermitMs(limit: SendLimit | undefined): number {
  if (limit?.isWarmUp !== true) return PERMIT_MS;
  const perSecond = Math.max(LEAST_PER_SECOND, limit.perSecond);
  return Math.min(
    PERMIT_MS,
    WARM_UP_PERMIT_MS + WARM_UP_PERMITS_KEPT * 1000 / perSecond,
  );
}
