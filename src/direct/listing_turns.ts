/**
 * When an entry lists the back ends itself, and when it leaves that to the entry
 * that reads them for its failure domain. Decides only; times come in.
 *
 * @module
 */

/**
 * Listings that fit into the time in which a back end that leaves may be sent work:
 * two, so that one may be lost, and some time for the answers. A watch would be
 * woken by each heartbeat, ten times as often.
 */
const LISTINGS_IN_LEAVING_TIME = 2.85;
/**
 * Turns in a row that are left to the reader. That costs a third of the calls, and
 * a connection to the store that is dead is still noticed within three intervals.
 */
const TURNS_LEFT_TO_READER = 2;
/** Milliseconds by which a reader's list may come later than its turn. */
const READER_SLACK_MS = 150;

/** What to do in a turn. */
export type ListingTurn =
  | { readonly kind: "list" }
  | { readonly kind: "wait"; readonly forMs: number };

/** A list of back ends, as the reader told it. */
export interface HeardList {
  /** Revision of the store that it is at least as new as. */
  readonly revision: number;
  /** When the reader asked for it, in milliseconds. */
  readonly askedAt: number;
}

/** Decides turn by turn. */
export class ListingTurns {
  /** Milliseconds between two lists. */
  readonly intervalMs: number;
  #leftInRow = 0;
  #heardAskedAt = Number.NEGATIVE_INFINITY;

  /** Takes the milliseconds for which a leaving back end may be sent work. */
  constructor(leavingLimitMs: number) {
    this.intervalMs = leavingLimitMs / LISTINGS_IN_LEAVING_TIME;
  }

  /**
   * The reader told a list. Only a newer one counts: its age is that at the reader, and one
   * that says the same as the known list may have been on its way for longer than a back
   * end that leaves may be sent work.
   */
  heard(list: HeardList, knownRevision = Number.NEGATIVE_INFINITY): void {
    if (list.revision <= knownRevision) return;
    this.#heardAskedAt = Math.max(this.#heardAskedAt, list.askedAt);
  }

  /**
   * What to do now that a turn has come.
   *
   * @example
   * ```ts
   * const turn = turns.next(performance.now());
   * ```
   */
  next(now: number): ListingTurn {
    const ageMs = now - this.#heardAskedAt;
    const isLeft = ageMs < this.intervalMs &&
      this.#leftInRow < TURNS_LEFT_TO_READER;
    if (!isLeft) {
      this.#leftInRow = 0;
      return { kind: "list" };
    }
    this.#leftInRow++;
    const forMs = this.intervalMs - ageMs + READER_SLACK_MS;
    return { kind: "wait", forMs };
  }
}
