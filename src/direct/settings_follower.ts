/**
 * Follows the settings that operators write to the platform's store.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type {
  OperatorSettings,
  StoreFormat,
} from "../external/operator_settings.ts";
import type { StoreItem, WatchedStore } from "../external/watched_store.ts";
import type { DrainFollower } from "./drain_follower.ts";
import { Reachability } from "./reachability.ts";
import { StoreWatch } from "./store_watch.ts";

/** Milliseconds for which the store may hold a watch, unless said otherwise. */
const WATCH_WAIT_MS = 15_000;
/**
 * Pause after a call that failed, in milliseconds. Refused calls cost as much as
 * others, and settings may be in force two seconds late.
 */
const RETRY_PAUSE_MS = 400;
/** Wrong fields that one line of the log names. */
const MOST_LOGGED_FINDINGS = 5;

/** Settings in force, with the text that they were read from. */
export interface SettingsInUse {
  readonly settings: OperatorSettings;
  readonly text: string;
}

/** Options of a {@link SettingsFollower}. */
export interface SettingsFollowerOptions {
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Milliseconds for which the store may hold a watch. */
  readonly watchWaitMs?: number;
  /** Milliseconds until they are read again; undefined: each version is wanted at once. */
  readonly rereadMs?: number;
  /** Hears of drains from the same watch, before the settings; undefined: none are needed. */
  readonly drains?: DrainFollower;
  /** Called for each newer version, in order. */
  readonly onSettings: (settings: OperatorSettings) => void;
}

/** Follows the settings; never goes back to an older version. */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions;
  readonly #watch: StoreWatch;
  #inUse: SettingsInUse | undefined;
  #heardCheckedAt = Number.NEGATIVE_INFINITY;

  /** Follows nothing yet. */
  constructor(options: SettingsFollowerOptions) {
    this.#options = options;
    const { store, format, log, drains } = options;
    this.#watch = new StoreWatch({
      store,
      prefix: drains === undefined ? format.settingsKey : format.operatorPrefix,
      waitMs: options.watchWaitMs ?? WATCH_WAIT_MS,
      retryPauseMs: RETRY_PAUSE_MS,
      rereadMs: options.rereadMs,
      readsFirst: true,
      readsWhenAlone: true,
      reachability: new Reachability("settings", log),
      onListed: (items) => {
        drains?.noteListed({ items, revision: this.#watch.revision });
        this.#offerItems(items);
      },
      onChanged: (changed) => {
        drains?.noteChanged(changed);
        this.#offerItems(changed.written);
      },
    });
  }

  /** The settings in force. */
  get inUse(): SettingsInUse | undefined {
    return this.#inUse;
  }

  /** When the store was last asked for newer ones, as far as its answer is known here. */
  get checkedAt(): number {
    return Math.max(this.#watch.checkedAt, this.#heardCheckedAt);
  }

  /** Another entry's settings were the newest at a time in milliseconds. */
  noteChecked(checkedAt: number): void {
    this.#heardCheckedAt = Math.max(this.#heardCheckedAt, checkedAt);
  }

  /** Follows from now on. */
  start(): void {
    this.#watch.start();
  }

  /** Follows no more. */
  stop(): void {
    this.#watch.stop();
  }

  /** Breaks off a watch that may never answer, and reads anew. */
  restart(): void {
    this.#watch.restart();
  }

  /** Whether another entry tells the settings. */
  setLed(isLed: boolean): void {
    this.#watch.setLed(isLed);
  }

  /**
   * Takes in settings from the store or from another process; older ones and
   * those that cannot be read change nothing. Returns whether they could be read.
   */
  offer(text: string, source: string): boolean {
    const { format, log, onSettings } = this.#options;
    const read = format.readSettings(text);
    if (read.isErr()) {
      log.write("SETTINGS_REFUSED", {
        source,
        findings: read.error.join("; "),
      });
      return false;
    }
    const settings = read.value;
    const inForce = this.#inUse?.settings.version;
    if (inForce !== undefined && settings.version <= inForce) return true;
    this.#inUse = { settings, text };
    log.write("SETTINGS_IN_FORCE", {
      revision: settings.version,
      before: inForce,
      source,
    });
    this.#logFindings(settings.findings ?? []);
    onSettings(settings);
    return true;
  }

  #logFindings(findings: readonly string[]): void {
    if (findings.length === 0) return;
    this.#options.log.write("SETTINGS_FIELDS_WRONG", {
      count: findings.length,
      findings: findings.slice(0, MOST_LOGGED_FINDINGS).join("; "),
    });
  }

  /** Of versions that are told together only the newest that can be read counts. */
  #offerItems(items: readonly StoreItem[]): void {
    const { settingsKey } = this.#options.format;
    const versions = items.filter(({ key }) => key === settingsKey);
    for (const { value } of versions.toReversed()) {
      if (this.offer(value, "store")) return;
    }
  }
}
