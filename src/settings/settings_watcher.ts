/**
 * Follows the settings head in the key-value service, through outages.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { KeyValueService } from "../external/key_value_service.ts";
import type { OfferOutcome, SettingsKeeper } from "./settings_keeper.ts";
import { HEAD_KEY } from "./tree.ts";

/** Pause after a call that failed, in milliseconds. */
const RETRY_PAUSE_MS = 500;
/**
 * Pause between two watches, so that a burst of changes costs one read: the
 * changes of a whole day may reach hundreds of entries each.
 */
const COALESCE_PAUSE_MS = 200;

/** What the owner of a watcher wants to hear. */
export interface SettingsWatcherListener {
  /** The service's head is older than what is in force. */
  onBehind(revision: number): void;
  /** The service answers, or has stopped answering. */
  onReachable(isReachable: boolean): void;
}

/** Follows the settings head in the key-value service. */
export class SettingsWatcher {
  readonly #service: KeyValueService;
  readonly #keeper: SettingsKeeper;
  readonly #listener: SettingsWatcherListener;
  #round = new AbortController();
  #isStopped = false;
  #keyRevision = 0;

  /** Starts following at once. */
  constructor(
    service: KeyValueService,
    keeper: SettingsKeeper,
    options: { readonly listener: SettingsWatcherListener },
  ) {
    this.#service = service;
    this.#keeper = keeper;
    this.#listener = options.listener;
    void this.#follow();
  }

  /** Follows no more. */
  stop(): void {
    this.#isStopped = true;
    this.#round.abort();
  }

  /** Breaks off a watch that may be stale, and reads the head now. */
  async refresh(): Promise<void> {
    this.#round.abort();
    this.#round = new AbortController();
    await this.#readOnce();
  }

  async #follow(): Promise<void> {
    await this.#readOnce();
    while (!this.#isStopped) {
      const isAnswered = await this.#watchOnce();
      const pause = isAnswered ? COALESCE_PAUSE_MS : RETRY_PAUSE_MS;
      if (!this.#isStopped) await sleep(pause, undefined, { ref: false });
    }
  }

  async #readOnce(): Promise<void> {
    try {
      const entry = await this.#service.tryRead(HEAD_KEY);
      this.#listener.onReachable(true);
      await this.#take(entry);
    } catch {
      this.#listener.onReachable(false);
    }
  }

  async #watchOnce(): Promise<boolean> {
    const { signal } = this.#round;
    try {
      const entry = await this.#service.watch(HEAD_KEY, {
        knownRevision: this.#keyRevision,
        signal,
      });
      this.#listener.onReachable(true);
      return await this.#take(entry);
    } catch {
      if (!signal.aborted) this.#listener.onReachable(false);
      return false;
    }
  }

  /** False when the head must be read again soon. */
  async #take(
    entry: { readonly value: string; readonly revision: number } | undefined,
  ): Promise<boolean> {
    if (entry === undefined) {
      this.#keyRevision = 0;
      if (this.#keeper.revision > 0) this.#listener.onBehind(0);
      return true;
    }
    const outcome: OfferOutcome = await this.#keeper.offer(entry.value);
    if (outcome.kind === "older") this.#listener.onBehind(outcome.revision);
    if (outcome.kind === "incomplete") return false;
    this.#keyRevision = entry.revision;
    return true;
  }
}
