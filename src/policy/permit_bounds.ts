/**
 * Bounds the burst and the lifetime of permits for a target.
 *
 * In any second a target that warms up may receive at most 1.5 r + 5 requests, where r is
 * its limit. A primary issuer issues r and a secondary one 0.25 r permits a second.
 * Permits live for 0.2 s + 1.5 / r, and bursts are limited to 2 and 1 permits. The
 * maximum in one second is 1.25 r (1 + 0.2 + 1.5 / r) + 2 + 1 = 1.5 r + 4.875.
 *
 * @module
 */
import type { SendLimit } from "./send_limits.ts";
import type { TokenBucketOptions } from "./token_bucket.ts";

/** Milliseconds for which a permit is valid, counted from the request for it. */
export const PERMIT_LIFETIME_MS = 1000;
/** Size of a burst in seconds of the limit; a burst is at least one request. */
const BURST_SECONDS = 0.25;
/**
 * Minimum rate in requests a second. At a rate of 0 the target would get no request, and
 * the end of its limit would go unnoticed.
 */
const MIN_PER_SECOND = 0.1;
/** Maximum burst of the issuer that issues the whole of a warm-up limit. */
const MAX_WARM_UP_BURST = 2;
/** Maximum burst of an issuer that issues a share of a warm-up limit. */
const MAX_SHARED_WARM_UP_BURST = 1;
/** Minimum lifetime in milliseconds of a permit for a target that warms up. */
const MIN_WARM_UP_LIFETIME_MS = 200;
/** Added to that lifetime, in permit intervals at the limit's rate. */
const WARM_UP_LIFETIME_INTERVALS = 1.5;

/**
 * Returns the options of the bucket from which an entry issues a share of a limit.
 *
 * @example
 * ```ts
 * bucket.setOptions(getBucketOptions(limit, 0.25), now);
 * ```
 */
export function getBucketOptions(
  limit: SendLimit | undefined,
  share: number,
): TokenBucketOptions {
  const issuedPerSecond = Math.max(MIN_PER_SECOND, limit?.perSecond ?? 0) *
    share;
  const burst = Math.max(1, issuedPerSecond * BURST_SECONDS);
  if (limit?.isWarmUp !== true) return { perSecond: issuedPerSecond, burst };
  const maxBurst = share === 1 ? MAX_WARM_UP_BURST : MAX_SHARED_WARM_UP_BURST;
  return { perSecond: issuedPerSecond, burst: Math.min(burst, maxBurst) };
}

/**
 * Returns the milliseconds for which a permit is valid, counted from the request for it.
 *
 * @example
 * ```ts
 * const expiresAt = requestedAt + getPermitLifetimeMs(limits.tryGet(target));
 * ```
 */
export function getPermitLifetimeMs(limit: SendLimit | undefined): number {
  if (limit?.isWarmUp !== true) return PERMIT_LIFETIME_MS;
  const perSecond = Math.max(MIN_PER_SECOND, limit.perSecond);
  return Math.min(
    PERMIT_LIFETIME_MS,
    MIN_WARM_UP_LIFETIME_MS + WARM_UP_LIFETIME_INTERVALS * 1000 / perSecond,
  );
}
