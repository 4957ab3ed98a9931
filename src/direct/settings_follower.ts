/**
 * Follows the settings that operators write to the platform's store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../events/event_log.ts";
import type {
  OperatorSettings,
  StoreFormat,
} from "../external/operator_settings.ts";
import type { StoreItem, WatchedStore } from "../external/watched_store.ts";
import { Reachability } from "./reachability.ts";

/** Milliseconds for which the store may hold a watch: one call in that time. */
const WATCH_WAIT_MS = 15_000;
/**
 * Pause after a call that failed, in milliseconds. Refused calls cost as much as
 * others, and settings may be in force two seconds late.
 */
const RETRY_PAUSE_MS = 400;

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
  /** Called for each newer version, in order. */
  readonly onSettings: (settings: OperatorSettings) => void;
}

/** Follows the settings; never goes back to an older version. */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions;
  readonly #reachability: Reachability;
  #inUse: SettingsInUse | undefined;
  #revision = 0;
  #round = new AbortController();
  #isStarted = false;
  #isStopped = false;

  /** Follows nothing yet. */
  constructor(options: SettingsFollowerOptions) {
    this.#options = options;
    this.#reachability = new Reachability("settings", options.log);
  }

  /** The settings in force. */
  get inUse(): SettingsInUse | undefined {
    return this.#inUse;
  }

  /** Follows from now on. */
  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    void this.#follow();
  }

  /** Follows no more. */
  stop(): void {
    this.#isStopped = true;
    this.#round.abort();
  }

  /**
   * Breaks off a watch that may never answer, and reads anew. A connection may
   * be dead without a sign while other calls are answered or refused.
   */
  restart(): void {
    this.#round.abort();
  }

  /**
   * Takes in settings from the store or from another process; older ones and
   * those that cannot be read change nothing.
   */
  offer(text: string, source: string): void {
    const { format, log, onSettings } = this.#options;
    const read = format.readSettings(text);
    if (read.isErr()) {
      log.write("SETTINGS_REFUSED", {
        source,
        findings: read.error.join("; "),
      });
      return;
    }
    const settings = read.value;
    const inForce = this.#inUse?.settings.version;
    if (inForce !== undefined && settings.version <= inForce) return;
    this.#inUse = { settings, text };
    log.write("SETTINGS_IN_FORCE", {
      revision: settings.version,
      before: inForce,
      source,
    });
    onSettings(settings);
  }

  async #follow(): Promise<void> {
    let isCurrent = false;
    while (!this.#isStopped) {
      this.#round = new AbortController();
      try {
        isCurrent = isCurrent ? await this.#watch() : await this.#read();
        this.#reachability.noteAnswer(performance.now());
      } catch (error) {
        isCurrent = false;
        if (this.#isStopped) return;
        this.#reachability.noteFailure(performance.now(), error);
        await sleep(RETRY_PAUSE_MS, undefined, { ref: false });
      }
    }
  }

  async #read(): Promise<boolean> {
    const { store, format } = this.#options;
    const listing = await store.list(format.settingsKey);
    this.#revision = listing.revision;
    this.#offerItems(listing.items);
    return true;
  }

  /** False when the store's history has a gap and all must be read again. */
  async #watch(): Promise<boolean> {
    const { store, format } = this.#options;
    const outcome = await store.watch({
      prefix: format.settingsKey,
      afterRevision: this.#revision,
      waitMs: WATCH_WAIT_MS,
      signal: this.#round.signal,
    });
    if (outcome.kind === "history_lost") return false;
    this.#revision = outcome.revision;
    this.#offerItems(outcome.written);
    return true;
  }

  #offerItems(items: readonly StoreItem[]): void {
    const { settingsKey } = this.#options.format;
    for (const item of items) {
      if (item.key === settingsKey) this.offer(item.value, "store");
    }
  }
}
