/**
 * Settings that operators write into the platform's store, which lagoonwharf only
 * reads.
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

/** Operators' settings, converted to lagoonwharf's settings documents. */
export interface OperatorSettings {
  /** Version number that operators assign; higher is newer. */
  readonly version: number;
  readonly documents: ReadonlyMap<string, SettingsDocument>;
  readonly callerLimits: CallerLimits;
  /** Pools that back ends may belong to. */
  readonly pools: ReadonlySet<string>;
  /** Rank groups by the pool that they serve. */
  readonly groups: ReadonlyMap<string, GroupSettings>;
  /** Pools whose back ends can be cold; none if undefined. */
  readonly coldPools?: ColdPools;
  /** Fields whose value is not valid; their previous values stay in force. */
  readonly findings?: readonly string[];
}

/** What callers may send, and how long they may take for it. */
export interface CallerLimits {
  /** Bytes of the head of a request. */
  readonly maxHeadBytes: number;
  /** Milliseconds in which a head must arrive. */
  readonly headTimeoutMs: number;
  /** Bytes of a body. */
  readonly maxBodyBytes: number;
  /** Milliseconds for which callers may keep a connection idle. */
  readonly idleLimitMs: number;
}

/** Operators' settings of which only the outline has been parsed. */
export interface SettingsOutline {
  /** Version number that operators assign; higher is newer. */
  readonly version: number;
  /**
   * Converts all rows, which is most of the work. Must be called only for a version that
   * is put in force: invalid fields keep their values of the version read before.
   */
  readonly read: () => OperatorSettings;
}

/** Settings of the rank groups of a pool. */
export interface GroupSettings {
  /** Number of sets of layers; each set has its own expert placement. */
  readonly layers: number;
  /** Number of experts in each set. */
  readonly experts: number;
  readonly slotsPerRank: number;
  /** Maximum number of experts of a set that a rank may load for one switch. */
  readonly maxNewExperts: number;
  /** Milliseconds to load one expert. */
  readonly loadMs: number;
  /**
   * Smallest pause objective of the services that use the pool: the longest acceptable
   * pause between two chunks of an answer; undefined if none has one.
   */
  readonly pauseObjectiveMs?: number;
  /** Milliseconds of one step of an idle rank. */
  readonly stepMs: number;
  /** Steps of one pass; 1 if undefined. */
  readonly stride?: number;
}

/** The key requests the drain of a failure domain. */
export interface DrainKey {
  readonly kind: "drain";
  readonly failureDomain: string;
}

/** The key has the prefix of drains but does not name a failure domain. */
export interface UnreadableDrainKey {
  readonly kind: "unreadable";
}

/** The key does not belong to a drain. */
export interface OtherKey {
  readonly kind: "other";
}

/** Meaning of an operator's key with regard to drains. */
export type OperatorKey = DrainKey | UnreadableDrainKey | OtherKey;

/** Format of the settings and registrations in the platform's store. */
export abstract class StoreFormat {
  /** Key of the settings. */
  abstract readonly settingsKey: string;
  /** Prefix of the keys of back ends' registrations. */
  abstract readonly backEndPrefix: string;

  /** Parses the outline of settings; an error contains all findings. */
  abstract readOutline(
    text: string,
  ): Result<SettingsOutline, readonly string[]>;

  /** Parses settings that are put in force; an error contains all findings. */
  readSettings(text: string): Result<OperatorSettings, readonly string[]> {
    return this.readOutline(text).map((outline) => outline.read());
  }

  /** Parses the registration of a back end; undefined if it cannot be read. */
  abstract tryReadBackEnd(
    key: string,
    text: string,
  ): BackEndInstance | undefined;

  /** Prefix of all keys that operators write; by default the key of the settings. */
  get operatorPrefix(): string {
    return this.settingsKey;
  }

  /** Returns which failure domain a key requests to drain; none by default. */
  readDrainKey(_key: string): OperatorKey {
    return { kind: "other" };
  }

  /** Returns whether the value of a drain's key requests the drain. */
  isDrainValue(_text: string): boolean {
    return false;
  }

  /** Reads the remaining warm-up time in a back end's registration; none by default. */
  readColdness(_text: string): ColdnessReport {
    return { kind: "untold" };
  }
}
