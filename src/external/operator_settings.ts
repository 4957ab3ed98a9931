/**
 * Settings that operators write where this system only reads them.
 *
 * @module
 */
import type { Result } from "ts-results-es";
import type { SettingsDocument } from "../messages/settings_documents.ts";
import type { ColdPools } from "../policy/warm_up_limits.ts";
import type {
  BackEndInstance,
  ColdnessReport,
} from "../messages/back_end_instance.ts";

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
  /** Pools whose back ends can be cold; none unless given. */
  readonly coldPools?: ColdPools;
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

/** The key asks to drain a failure domain. */
export interface DrainKey {
  readonly kind: "drain";
  readonly failureDomain: string;
}

/** The key is below that of the drains, and names no failure domain. */
export interface UnreadableDrainKey {
  readonly kind: "unreadable";
}

/** The key is about something else. */
export interface OtherKey {
  readonly kind: "other";
}

/** What a key that operators write says of drains. */
export type OperatorKey = DrainKey | UnreadableDrainKey | OtherKey;

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

  /** Prefix of all keys that operators write; the settings' own key without drains. */
  get operatorPrefix(): string {
    return this.settingsKey;
  }

  /** Reads which failure domain a key asks to drain; none by default. */
  readDrainKey(_key: string): OperatorKey {
    return { kind: "other" };
  }

  /** Whether the value under such a key asks for the drain. */
  isDrainValue(_text: string): boolean {
    return false;
  }

  /** What the entry of a back end says of how long it warms up; nothing unless overridden. */
  readColdness(_text: string): ColdnessReport {
    return { kind: "untold" };
  }
}
