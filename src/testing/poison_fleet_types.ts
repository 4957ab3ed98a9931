/**
 * The options and results of a simulated fleet with requests that crash ranks.
 *
 * @module
 */

/** Requests that share a part of their prompts that crashes ranks; no two are alike. */
export interface PoisonPart {
  /** Position of the part in the prompt, from 0. */
  readonly position: 0 | 1 | 2;
  /** When the first of these requests arrive, in milliseconds. */
  readonly at: number;
  /** Milliseconds between two arrivals. */
  readonly intervalMs: number;
  /** Number of requests that arrive together. Defaults to 1. */
  readonly requests?: number;
}

/** A part that a fraction of the harmless prompts have. */
export interface PopularPart {
  /** Fraction of harmless requests that have it. */
  readonly share: number;
  /** Milliseconds until a request with it is answered. */
  readonly answerAfterMs: number;
}

/** Options of a simulated fleet. */
export interface PoisonFleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly groups: number;
  readonly ranksPerGroup: number;
  /**
   * Milliseconds for which the other ranks of a group continue after a crash, so that
   * they may crash as well. Defaults to 0.
   */
  readonly samePassMs?: number;
  /** Rate of requests that crash no ranks. */
  readonly requestsPerSecond: number;
  /** Number of poison requests. */
  readonly poisonRequests: number;
  /** Milliseconds between two arrivals of each poison request. */
  readonly poisonIntervalMs: number;
  /** Whether harmless requests have prompts with parts. Defaults to `poisonPart`. */
  readonly hasPromptParts?: boolean;
  /** Requests that share a part of their prompts that crashes ranks. */
  readonly poisonPart?: PoisonPart;
  /** A harmless part besides the usual ones. */
  readonly popularPart?: PopularPart;
  /** Ranks that crash at the same time for other reasons. */
  readonly losses: readonly RankLoss[];
  /** Entries that are replaced by new processes without state. */
  readonly restarts?: readonly EntryLoss[];
}

/** Entries that lose their state at the same time. */
export interface EntryLoss {
  readonly at: number;
  /** Fraction of all entries. */
  readonly share: number;
}

/** Ranks that crash at the same time for reasons other than a request. */
export interface RankLoss {
  readonly at: number;
  /** Fraction of all ranks. */
  readonly share: number;
}

/** Results of a run. */
export interface PoisonFleetResult {
  /** Crashes of ranks caused by poison requests. */
  readonly crashes: number;
  /** Requests that crash no ranks. */
  readonly harmless: number;
  /** Number of those that were refused as if they crashed ranks. */
  readonly refusedHarmless: number;
  /** Number of those that were answered. */
  readonly served: number;
  /** When requests that crash ranks were sent to ranks, in milliseconds. */
  readonly poisonSentAt: readonly number[];
  /** When such requests crashed ranks, in milliseconds. */
  readonly crashedAt: readonly number[];
  /** When harmless requests first arrived, and when they were answered. */
  readonly harmlessAt: readonly number[];
  readonly servedAt: readonly number[];
  /** Maximum number of updates that one entry sent to the others. */
  readonly maxUpdatesSent: number;
}
