/**
 * Notices about its own state that a back end attaches to an answer.
 *
 * @module
 */

/** Limit on the rate of requests that a back end accepts from all entries together. */
export type RateLimitWord =
  /** The back end announces no limit, so none applies. */
  | { readonly kind: "none" }
  | { readonly kind: "limit"; readonly perSecond: number }
  /** The value is not a limit; the limit that applies does not change. */
  | UnreadableWord;

/** Time for which a back end asks the receiver of an answer to send no requests. */
export type BackoffWord =
  | { readonly kind: "none" }
  | { readonly kind: "backoff"; readonly milliseconds: number }
  | UnreadableWord;

/** Whether a back end is about to shut down. */
export type LeavingWord =
  | { readonly kind: "none" }
  | { readonly kind: "leaving" }
  | UnreadableWord;

/** A notice whose value cannot be parsed. */
export interface UnreadableWord {
  readonly kind: "unreadable";
  /** The received value, truncated. */
  readonly text: string;
}

/** All notices of one answer. */
export interface BackEndNotice {
  readonly rateLimit: RateLimitWord;
  readonly backoff: BackoffWord;
  readonly leaving: LeavingWord;
}
