/**
 * The vocabulary of the tree of hashes in which settings are kept.
 *
 * @module
 */

/** The value that says what is accepted; moved by compare-and-swap only. */
export interface SettingsHead {
  readonly format: 1;
  /** Grows by one with each accepted change. */
  readonly revision: number;
  /** Hash of the {@link SettingsRoot}. */
  readonly root: string;
  /** The newest changes, newest first. */
  readonly recent: readonly RecentChange[];
}

/** One of the newest changes; enough to follow without reading the tree. */
export interface RecentChange {
  readonly revision: number;
  readonly path: string;
  readonly record: string;
}

/** Hashes of the pages, by page number in hexadecimal; empty ones left out. */
export interface SettingsRoot {
  readonly pages: Readonly<Record<string, string>>;
}

/** Hashes of the records of all paths in one page. */
export interface SettingsPage {
  readonly records: Readonly<Record<string, string>>;
}

/** One accepted change of one path. */
export interface SettingsRecord {
  readonly path: string;
  /** The YAML text, or null when the path was removed. */
  readonly text: string | null;
  /** Chosen by whoever asked for the change; makes asking again idempotent. */
  readonly changeId: string;
  readonly revision: number;
  readonly author: string;
  /** Wall-clock time of the entry, RFC 3339. */
  readonly at: string;
  /** Hash of the record of this path before this one. */
  readonly previous: string | null;
}
