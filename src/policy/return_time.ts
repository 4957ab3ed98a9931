/**
 * How long a request may wait at an entry, and when the caller of a refused one
 * should come back.
 *
 * The pattern: everything that could serve a request is gone at once, for an unknown
 * time, and comes back at once; a rank group that lost a rank is the usual case.
 * Callers ask again once or twice, honour a given time up to a third of what their
 * deadline leaves, and give up on a connection that stays silent. Nobody knows the end
 * of the outage, so a request is served if some moment of it at an entry, from its
 * return to the end of its patience, falls after that end. The later it returns, the
 * longer the outages that it outlives: the longest time that callers honour reaches
 * outages that end up to a third of their deadline plus one wait later.
 *
 * A first attempt is refused at once while something that the work needs is known to be
 * gone, so that its caller has the whole of that time; one that came back has no better
 * choice than to wait. Callers arrive over time and are all sent away for as long, so they
 * return over time, too, and no two entries have to agree on who returns when.
 *
 * While nothing is known to be gone, the work may go on at any moment: at the beginning of
 * an outage, before anybody knows what was lost, and at its end, when all that was lost is
 * back. Then a first attempt waits, too, as long as its caller bears silence. Whoever
 * arrives early returns later for it, and whoever arrives late is served as it ends.
 */
import { ASK_LIMIT_MS } from "./send_permits.ts";

/** Why a request cannot be sent to a target now. */
export type Obstacle =
  /** All targets that could serve it are known to be lost, for an unknown time. */
  | "outage"
  /** All targets that could serve it stand still, and none is known to be lost. */
  | "stall"
  /** No target is listed now; lists change within a second. */
  | "absence"
  /** Operators drain all targets that could serve it, for as long as they like. */
  | "drain"
  /** Targets have as much work as they can finish in time. */
  | "overload"
  /** All targets that could serve it have named limits, and take no more now. */
  | "limit"
  /** All targets that could serve it asked for a backoff, whose end is known. */
  | "backoff"
  /** Only one target is known that may run it, and it is not reached. */
  | "owner_away";

/** What is known of a request that cannot be sent to a target now. */
export interface ReturnFacts {
  readonly obstacle: Obstacle;
  /** Whether its caller was refused before, so that it asks no more. */
  readonly isRepeated: boolean;
  /** Milliseconds after which a target may take it, where that is known. */
  readonly freeInMs?: number;
  /** Milliseconds until its deadline. */
  readonly leftMs: number;
  /** Milliseconds in which its answer should begin. */
  readonly objectiveMs: number;
}

/**
 * Part of the objective for which a request that comes first waits for a place: a
 * caller that is refused early enough can still be served in time elsewhere.
 */
const FIRST_WAIT_PART = 0.2;
/**
 * Milliseconds for which a request waits in silence. Callers leave a silent connection
 * after two seconds, and the first piece of an answer takes up to three tenths of one.
 */
const SILENT_WAIT_MS = 1700;
/** Part of the time left up to which callers honour the time that they are given. */
const HONOURED_PART = 1 / 3;
/**
 * Milliseconds kept free below that part: the caller's own clock runs since it sent the
 * request, and counts the way there and back.
 */
const HONOURED_MARGIN_MS = 60;
/** Milliseconds after which a place among many is free again, as work ends. */
const OVERLOAD_RETURN_MS = 1000;

/**
 * Milliseconds for which the request may wait here for a target; 0: it is refused at
 * once.
 *
 * @example
 * ```ts
 * const facts = {
 *   obstacle: "outage",
 *   isRepeated: false,
 *   leftMs: 8000,
 *   objectiveMs: 400,
 * } as const;
 * getLongestWaitMs(facts); // 0
 * ```
 */
export function getLongestWaitMs(facts: ReturnFacts): number {
  const isFutile = facts.obstacle === "owner_away" ||
    facts.obstacle === "drain";
  if (isFutile) return 0;
  // It waits for the answer of an entry that was asked for a permit, not for a target.
  if (facts.obstacle === "limit") return Math.min(facts.leftMs, ASK_LIMIT_MS);
  const mayBeServedSoon = facts.isRepeated || facts.obstacle === "stall";
  if (mayBeServedSoon) return Math.min(facts.leftMs, SILENT_WAIT_MS);
  // What waits for the end of an outage takes the places of those that come after,
  // and leaves its caller less time to come back later.
  if (facts.obstacle === "outage") return 0;
  return Math.min(facts.leftMs, FIRST_WAIT_PART * facts.objectiveMs);
}

/**
 * The longest time to come back that callers honour, with so many milliseconds left.
 *
 * @example
 * ```ts
 * getLatestReturnMs(8000); // 2606.7
 * ```
 */
export function getLatestReturnMs(leftMs: number): number {
  return Math.max(0, leftMs * HONOURED_PART - HONOURED_MARGIN_MS);
}

/**
 * Milliseconds after which the caller of a refused request should come back.
 *
 * @example
 * ```ts
 * const facts = {
 *   obstacle: "outage",
 *   isRepeated: false,
 *   leftMs: 8000,
 *   objectiveMs: 400,
 * } as const;
 * getReturnMs(facts); // 2606.7
 * ```
 */
export function getReturnMs(facts: ReturnFacts): number {
  // The end is known: nothing is gained by a return before it, however long that is.
  if (facts.obstacle === "backoff" && facts.freeInMs !== undefined) {
    return facts.freeInMs;
  }
  const longest = getLatestReturnMs(facts.leftMs);
  if (facts.obstacle === "overload" || facts.obstacle === "limit") {
    return Math.min(longest, facts.freeInMs ?? OVERLOAD_RETURN_MS);
  }
  return longest;
}
