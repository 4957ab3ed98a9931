/**
 * A store of the platform in which others write what this system follows, and
 * in which its own processes list themselves.
 *
 * @module
 */

/** One key with its value. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at the last change of the key. */
  readonly revision: number;
  /** Revision of the store at which the key came to be. */
  readonly createdRevision: number;
}

/** All keys below a prefix. */
export interface StoreListing {
  readonly items: readonly StoreItem[];
  /**
   * Revision of the store that the listing is at least as new as; higher is newer, also
   * after the store came back from an older copy.
   */
  readonly revision: number;
}

/** Keys changed; those without a value were removed. A key is in one of the two lists. */
export interface StoreChanged {
  readonly kind: "changed";
  /** In order, without what a later removal of the key has undone. */
  readonly written: readonly StoreItem[];
  /** Keys that were removed and not written again. */
  readonly removed: readonly string[];
  /** Revision to go on from. */
  readonly revision: number;
}

/** The store no longer has the changes after the revision asked for. */
export interface StoreHistoryLost {
  readonly kind: "history_lost";
}

/** What a watch brought. */
export type StoreWatchOutcome = StoreChanged | StoreHistoryLost;

/** Options of a watch. */
export interface StoreWatchOptions {
  readonly prefix: string;
  /** Changes after this revision are wanted. */
  readonly afterRevision: number;
  /** Milliseconds for which the store may wait for a change. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** Options of an entry that lasts as long as its lease. */
export interface LeasedEntry {
  readonly key: string;
  readonly value: string;
  readonly timeToLiveMs: number;
}

/** A lease that its holder renews. */
export interface StoreLease {
  readonly id: string;
  readonly timeToLiveMs: number;
}

/** What a process asks the store for. */
export type StoreCallKind = "list" | "watch" | "register" | "renew" | "release";

/** Thrown when the store gave no answer; a read has no other effect. */
export class StoreUnavailableError extends Error {
  override readonly name = "StoreUnavailableError";
}

/** A store of the platform that is listed and watched. */
export abstract class WatchedStore {
  /**
   * Lists all keys below a prefix, as new as the store's last change.
   *
   * @throws {StoreUnavailableError} when the store does not answer
   */
  abstract list(prefix: string): Promise<StoreListing>;

  /**
   * Waits for changes below a prefix.
   *
   * @throws {StoreUnavailableError} when the store does not answer
   */
  abstract watch(options: StoreWatchOptions): Promise<StoreWatchOutcome>;

  /**
   * Writes an entry under a new lease.
   *
   * @throws {StoreUnavailableError} when the store does not answer
   */
  abstract register(entry: LeasedEntry): Promise<StoreLease>;

  /**
   * Renews a lease; false when it has ended and its entry is gone.
   *
   * @throws {StoreUnavailableError} when the store does not answer
   */
  abstract renew(lease: StoreLease): Promise<boolean>;

  /** Ends a lease and removes its entry, as far as the store can be reached. */
  abstract release(lease: StoreLease): Promise<void>;

  /**
   * Calls back whenever the store has come back from an older copy: what was written since
   * is gone, leases too. Never for a store that does not.
   */
  onWentBack(_listener: () => void): void {}
}
