/**
 * All settings at one revision, as they are in force in a process.
 *
 * @module
 */
import type { SettingsTree } from "./settings_tree.ts";
import type { SettingsHead } from "./types.ts";
import type { SettingsDocument } from "../messages/settings_documents.ts";

/** All settings at one revision, read and checked. */
export interface SettingsSnapshot {
  readonly head: SettingsHead;
  /** The text of the head as it was read. */
  readonly headText: string;
  /** The record of each path. */
  readonly tree: SettingsTree;
  /**
   * Documents by path, without removed ones. A later snapshot reuses and modifies this
   * map, so it may only be read from the latest snapshot.
   */
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  /**
   * Paths that changed since the previous snapshot; undefined: any path may have
   * changed.
   */
  readonly changed: readonly string[] | undefined;
  /**
   * Paths whose document this version cannot read; the previous document stays in
   * force.
   */
  readonly unreadable: readonly string[];
}
