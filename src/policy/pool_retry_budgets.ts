/**
 * Limits the retries that a pool receives from all entries together to a share of its
 * requests plus a slack, in any window of time. Entries do not coordinate; each uses its
 * part of the limit.
 *
 * Each entry may retry the share of its own requests at any time. The slack is divided by
 * the number of entries. A process that has just started knows neither how many retries
 * its predecessor made in the current window nor how many entries there are, so it uses
 * the slack only after a window in which it had a list of entries.
 *
 * The limit applies when retries arrive, which may be long after they were permitted: they
 * wait for a target, or a link is cut. So a retry counts from its permission until a
 * window after the latest time at which it can have arrived.
 *
 * @module
 */
import { EntryCount } from "./entry_count.ts";

/** Limits of the retries that one pool receives from all entries. */
export interface PoolRetryLimits {
  /** Length of the sliding window in milliseconds. */
  readonly windowMs: number;
  /** Maximum ratio of retries to requests in a window. */
  readonly share: number;
  /** Retries in a window beyond that share, for all entries together. */
  readonly slack: number;
}

/**
 * Fraction of the slack that is used. The rest covers entries that some others do not
 * count, because they have just joined or were cut off for longer than they are counted.
 */
const USED_SLACK_FRACTION = 0.65;

/** What one entry has counted of a pool in the current window, and its number of entries. */
export interface PoolRetryUse {
  /** First attempts in the window. */
  readonly requests: number;
  /** Retries that were made in the window or have not arrived. */
  readonly retries: number;
  /** Number of entries by which the slack is divided; undefined before the first list. */
  readonly entries: number | undefined;
  /** Milliseconds since the last list of entries. */
  readonly entriesAgeMs: number | undefined;
}

/** The permission for one retry, which counts until it is settled or released. */
export interface RetryReservation {
  /** Called when the retry has arrived, or can no longer arrive after it was sent. */
  settle(now: number): void;
  /** Called when the retry will not be sent. */
  release(): void;
}

interface PoolCounts {
  /** Times of first attempts within the window, oldest first. */
  readonly requests: number[];
  /** Times within the window at which retries were settled, oldest first. */
  readonly settled: number[];
  /** Retries that may still arrive. */
  readonly open: Set<RetryReservation>;
}

/** Tracks this entry's part of the retries of each pool. */
export class PoolRetryBudgets {
  #limits: PoolRetryLimits | undefined;
  readonly #counts = new Map<string, PoolCounts>();
  readonly #entries = new EntryCount();

  /** Without limits every retry is allowed. */
  constructor(limits?: PoolRetryLimits) {
    this.#limits = limits;
  }

  /** Replaces the limits. */
  setLimits(limits: PoolRetryLimits): void {
    this.#limits = limits;
  }

  /** Sets the names of the entries that share the slack, including this one. */
  setEntries(names: readonly string[], now: number): void {
    this.#entries.setListed(names, now);
  }

  /** Returns the counts of a pool, as they enter the next decision; for the log. */
  getUse(pool: string, now: number): PoolRetryUse {
    const { requests, settled, open } = this.#getCounts(pool, now);
    const { lastListedAt } = this.#entries;
    const isListed = lastListedAt !== undefined;
    return {
      requests: requests.length,
      retries: settled.length + open.size,
      entries: isListed ? this.#entries.getCount(now) : undefined,
      entriesAgeMs: isListed ? now - lastListedAt : undefined,
    };
  }

  /** Records a first attempt. */
  recordRequest(pool: string, now: number): void {
    if (this.#limits === undefined) return;
    this.#getCounts(pool, now).requests.push(now);
  }

  /**
   * Reserves one retry if the budget allows it.
   *
   * @example
   * ```ts
   * const reservation = budgets.tryReserve("confirm", now);
   * if (reservation !== undefined) retry(reservation);
   * ```
   */
  tryReserve(pool: string, now: number): RetryReservation | undefined {
    const { requests, settled, open } = this.#getCounts(pool, now);
    const used = settled.length + open.size;
    if (used + 1 > this.#getAllowed(requests.length, now)) return undefined;
    const reservation: RetryReservation = {
      settle: (settledAt) => {
        if (open.delete(reservation)) settled.push(settledAt);
      },
      release: () => void open.delete(reservation),
    };
    open.add(reservation);
    return reservation;
  }

  #getAllowed(requests: number, now: number): number {
    if (this.#limits === undefined) return Number.POSITIVE_INFINITY;
    return this.#limits.share * requests + this.#getSlackPart(now);
  }

  #getSlackPart(now: number): number {
    const { windowMs = 0, slack = 0 } = this.#limits ?? {};
    const { firstListedAt = Number.POSITIVE_INFINITY } = this.#entries;
    if (now - firstListedAt < windowMs) return 0;
    return USED_SLACK_FRACTION * slack / this.#entries.getCount(now);
  }

  #getCounts(pool: string, now: number): PoolCounts {
    let counts = this.#counts.get(pool);
    if (counts === undefined) {
      counts = { requests: [], settled: [], open: new Set() };
      this.#counts.set(pool, counts);
    }
    const start = now - (this.#limits?.windowMs ?? 0);
    removeUntil(counts.requests, start);
    removeUntil(counts.settled, start);
    return counts;
  }
}

function removeUntil(times: number[], start: number): void {
  const kept = times.findIndex((time) => time > start);
  times.splice(0, kept === -1 ? times.length : kept);
}
