/**
 * Follows the settings that operators write to the platform's store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type {
  OperatorSettings,
  StoreFormat,
} from "../external/operator_settings.ts";
import type { StoreItem, WatchedStore } from "../external/watched_store.ts";
import type { DrainFollower } from "./drain_follower.ts";
import { Reachability } from "./reachability.ts";
import { StoreWatch } from "./store_watch.ts";

/** Default duration of a watch in milliseconds. */
const WATCH_WAIT_MS = 15_000;
/**
 * Milliseconds to wait after a failed call. Rejected calls cost as much as others, and
 * settings may take effect two seconds late.
 */
const RETRY_PAUSE_MS = 400;
/** Maximum number of findings in one log line. */
const MAX_LOGGED_FINDINGS = 20;

/** Settings in force, with the text that they were parsed from. */
export interface SettingsInUse {
  readonly settings: OperatorSettings;
  readonly text: string;
}

/** Options of a {@link SettingsFollower}. */
export interface SettingsFollowerOptions {
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Maximum duration of a watch in milliseconds. */
  readonly watchWaitMs?: number;
  /**
   * Milliseconds after which the settings are read again; undefined: they are watched, so
   * that each version arrives at once.
   */
  readonly rereadIntervalMs?: number;
  /**
   * Receives drains from the same watch, before the settings; undefined if drains are not
   * needed.
   */
  readonly drains?: DrainFollower;
  /** Called for each newer version, in order. */
  readonly onSettings: (settings: OperatorSettings) => void;
}

/** Follows the settings. Never returns to an older version. */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions;
  readonly #watch: StoreWatch;
  #inUse: SettingsInUse | undefined;
  #peerCheckedAt = Number.NEGATIVE_INFINITY;

  /** Makes no call yet. */
  constructor(options: SettingsFollowerOptions) {
    this.#options = options;
    const { store, format, log, drains } = options;
    this.#watch = new StoreWatch({
      store,
      prefix: drains === undefined ? format.settingsKey : format.operatorPrefix,
      waitMs: options.watchWaitMs ?? WATCH_WAIT_MS,
      retryPauseMs: RETRY_PAUSE_MS,
      rereadIntervalMs: options.rereadIntervalMs,
      listsOnStart: true,
      listsOnReaderLoss: true,
      reachability: new Reachability("settings", log),
      log,
      onListed: (items) => {
        const { revision } = this.#watch;
        this.#handleDrains(() => drains?.onListed({ items, revision }));
        this.#offerItems(items);
      },
      onChanged: (changed) => {
        this.#handleDrains(() => drains?.onChanged(changed));
        this.#offerItems(changed.written);
      },
    });
  }

  /** The settings in force. */
  get inUse(): SettingsInUse | undefined {
    return this.#inUse;
  }

  /**
   * When the store was last queried for newer settings, by this entry or the reader it
   * follows, in milliseconds.
   */
  get checkedAt(): number {
    return Math.max(this.#watch.checkedAt, this.#peerCheckedAt);
  }

  /**
   * Records that another entry's settings were the newest at `checkedAt`, in
   * milliseconds.
   */
  recordCheck(checkedAt: number): void {
    this.#peerCheckedAt = Math.max(this.#peerCheckedAt, checkedAt);
  }

  /** Starts following the settings. */
  start(): void {
    this.#watch.start();
  }

  /** Stops following the settings. */
  stop(): void {
    this.#watch.stop();
  }

  /** Aborts a watch that may never return, and lists the settings again. */
  restart(): void {
    this.#watch.restart();
  }

  /** Sets whether another entry sends updates of the settings. */
  setFollowingReader(isFollowing: boolean): void {
    this.#watch.setFollowingReader(isFollowing);
  }

  /**
   * Applies settings from the store or from another process. Ignores unreadable settings,
   * and reads no rows of a version that is not newer than the one in force. Returns
   * whether the settings were readable.
   */
  offer(text: string, source: string): boolean {
    const { format, log, onSettings } = this.#options;
    if (text === this.#inUse?.text) return true;
    const startedAt = performance.now();
    const outline = format.readOutline(text);
    if (outline.isErr()) {
      log.write("SETTINGS_REFUSED", {
        source,
        findings: outline.error.join("; "),
      });
      return false;
    }
    const inForce = this.#inUse?.settings.version;
    const isNewer = inForce === undefined || outline.value.version > inForce;
    if (!isNewer) return true;
    const settings = outline.value.read();
    this.#inUse = { settings, text };
    log.write("SETTINGS_IN_FORCE", {
      revision: settings.version,
      before: inForce,
      source,
      characters: text.length,
      readMs: Math.round(performance.now() - startedAt),
    });
    this.#logFindings(settings.findings ?? []);
    onSettings(settings);
    return true;
  }

  #logFindings(findings: readonly string[]): void {
    if (findings.length === 0) return;
    this.#options.log.write("SETTINGS_FIELDS_WRONG", {
      count: findings.length,
      findings: findings.slice(0, MAX_LOGGED_FINDINGS).join("; "),
    });
  }

  /** Handles drains so that an exception does not cost the settings read with them. */
  #handleDrains(handle: () => void): void {
    tryHandle(this.#options.log, "drains", handle);
  }

  /** Applies the newest readable version of those that arrived together. */
  #offerItems(items: readonly StoreItem[]): void {
    const { settingsKey } = this.#options.format;
    const versions = items.filter(({ key }) => key === settingsKey);
    for (const { value } of versions.toReversed()) {
      if (this.offer(value, "store")) return;
    }
  }
}
