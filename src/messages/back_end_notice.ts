/**
 * What a back end says of itself with an answer, apart from the answer.
 *
 * @module
 */

/** What a back end says of the requests that it takes from all entries. */
export type RateLimitWord =
  /** It names no limit, so none holds. */
  | { readonly kind: "none" }
  | { readonly kind: "limit"; readonly perSecond: number }
  /** It names something that is no limit, which changes nothing. */
  | UnreadableWord;

/** For how long a back end asks whoever it answered to send it nothing. */
export type BackoffWord =
  | { readonly kind: "none" }
  | { readonly kind: "backoff"; readonly milliseconds: number }
  | UnreadableWord;

/** Whether a back end is about to leave. */
export type LeavingWord =
  | { readonly kind: "none" }
  | { readonly kind: "leaving" }
  | UnreadableWord;

/** A word that says nothing that could be understood. */
export interface UnreadableWord {
  readonly kind: "unreadable";
  /** What it said, shortened. */
  readonly text: string;
}

/** What a back end says of itself with an answer. */
export interface BackEndNotice {
  readonly rateLimit: RateLimitWord;
  readonly backoff: BackoffWord;
  readonly leaving: LeavingWord;
}
