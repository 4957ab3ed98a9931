/**
 * Settings that operators write where this system only reads them.
 *
 * @module
 */
import type { Result } from "ts-results-es";
import type { BackEndInstance } from "./back_end_directory.ts";
import type { SettingsDocument } from "../settings/types.ts";

/** Settings as operators wrote them, in this system's own documents. */
export interface OperatorSettings {
  /** The operators' own number; higher is newer. */
  readonly version: number;
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  /** Milliseconds for which callers may keep a connection idle. */
  readonly idleLimitMs: number;
  /** Pools that back ends may belong to. */
  readonly pools: ReadonlySet<string>;
  /** Rank groups by the pool that they serve. */
  readonly groups: ReadonlyMap<string, GroupSettings>;
  /** Fields whose value is wrong; their previous values stay in force. */
  readonly findings?: readonly string[];
}

/** What the settings say of the rank groups of a pool. */
export interface GroupSettings {
  /** Sets of layers that are placed each by itself. */
  readonly layers: number;
  /** Experts of each set. */
  readonly experts: number;
  readonly slotsPerRank: number;
  /** Experts of a set that a rank may load for one switch. */
  readonly mostNewExperts: number;
  /** Milliseconds to load one expert. */
  readonly loadMs: number;
  /** Shortest pause between two pieces of an answer that callers bear, if said. */
  readonly pauseObjectiveMs?: number;
  /** Milliseconds of one step of an idle rank. */
  readonly stepMs: number;
  /** Steps of one pass; 1 unless given. */
  readonly stride?: number;
}

/** How settings and back ends are written in the platform's store. */
export abstract class StoreFormat {
  /** Key of the settings. */
  abstract readonly settingsKey: string;
  /** Prefix of the back ends' entries. */
  abstract readonly backEndPrefix: string;

  /** Reads settings; all findings come together. */
  abstract readSettings(
    text: string,
  ): Result<OperatorSettings, readonly string[]>;

  /** Reads the entry of one back end; undefined when it cannot be read. */
  abstract tryReadBackEnd(
    key: string,
    text: string,
  ): BackEndInstance | undefined;
}
