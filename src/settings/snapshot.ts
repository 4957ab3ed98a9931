/**
 * All settings at one revision, as a process has them in force.
 *
 * @module
 */
import type { SettingsTree } from "./settings_tree.ts";
import type { SettingsHead } from "./types.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";

/** All settings at one revision, read and checked. */
export interface SettingsSnapshot {
  readonly head: SettingsHead;
  /** The head value as it was read. */
  readonly headText: string;
  /** Which record each path has. */
  readonly tree: SettingsTree;
  /**
   * Documents by path; removed ones are not there. A snapshot that follows
   * another takes over its map: only the newest snapshot's may be read.
   */
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  /** Paths that changed since the one before; undefined: any may have. */
  readonly changed: readonly string[] | undefined;
  /** Paths whose document this version cannot read; an older one is in force. */
  readonly unreadable: readonly string[];
}
