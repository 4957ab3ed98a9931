/**
 * Notices about its own state that a back end attaches to an answer.
 *
 * @module
 */

/** Limit on the rate of requests that a back end accepts from all entries together. */
export type RateLimitNotice =
  /** The back end announces no limit, so none applies. */
  | { readonly kind: "none" }
  | { readonly kind: "limit"; readonly perSecond: number }
  /** The value is not a limit; the limit that applies does not change. */
  | UnreadableNotice;

/** Time for which a back end requests that it be sent no further requests. */
export type BackoffNotice =
  | { readonly kind: "none" }
  | { readonly kind: "backoff"; readonly milliseconds: number }
  | UnreadableNotice;

/** Whether a back end is about to shut down. */
export type LeavingNotice =
  | { readonly kind: "none" }
  | { readonly kind: "leaving" }
  | UnreadableNotice;

/** A notice whose value cannot be parsed. */
export interface UnreadableNotice {
  readonly kind: "unreadable";
  /** The received value, truncated. */
  readonly text: string;
}

/** All notices of one answer. */
export interface BackEndNotice {
  readonly rateLimit: RateLimitNotice;
  readonly backoff: BackoffNotice;
  readonly leaving: LeavingNotice;
}
