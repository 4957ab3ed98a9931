/**
 * Types of the hash tree in which settings are stored.
 *
 * @module
 */

/** The root reference of the accepted settings; replaced by compare-and-swap only. */
export interface SettingsHead {
  readonly format: 1;
  /** Increases by one with each accepted change. */
  readonly revision: number;
  /** Hash of the {@link SettingsRoot}. */
  readonly root: string;
  /** The newest changes, newest first. */
  readonly recent: readonly RecentChange[];
}

/** A recent change, with which followers can update without reading the tree. */
export interface RecentChange {
  readonly revision: number;
  readonly path: string;
  readonly record: string;
}

/** Hashes of the pages, by page number in hexadecimal; empty ones are omitted. */
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
  /** Identifier that the author's client chooses; makes retries idempotent. */
  readonly changeId: string;
  readonly revision: number;
  readonly author: string;
  /** Wall-clock time at the entry that wrote the change, RFC 3339. */
  readonly at: string;
  /** Hash of the previous record of this path. */
  readonly previous: string | null;
}
