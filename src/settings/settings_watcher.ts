/**
 * Follows the settings head in the key-value service, also after outages.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../events/event_log.ts";
import { logInternalFault } from "../events/internal_faults.ts";
import type {
  KeyValueEntry,
  KeyValueService,
} from "../external/key_value_service.ts";
import type { OfferOutcome, SettingsKeeper } from "./settings_keeper.ts";
import { HEAD_KEY } from "./tree.ts";

/** Milliseconds after a failed call before the next one. */
const RETRY_DELAY_MS = 500;
/**
 * Milliseconds between two watches, so that a burst of changes costs one read. Each
 * change reaches every entry, of which there may be hundreds.
 */
const COALESCE_DELAY_MS = 200;

/** Receives events of a watcher. */
export interface SettingsWatcherListener {
  /** The service's head is older than the settings in force. */
  onBehind(revision: number): void;
  /** The service became reachable or unreachable. */
  onReachable(isReachable: boolean): void;
}

/** Options of a {@link SettingsWatcher}. */
export interface SettingsWatcherOptions {
  readonly listener: SettingsWatcherListener;
  readonly log: EventLog;
}

/** What a call to the service returned. */
interface ReadHead {
  /** Undefined: the service has no head. */
  readonly entry: KeyValueEntry | undefined;
}

/** Follows the settings head in the key-value service. */
export class SettingsWatcher {
  readonly #service: KeyValueService;
  readonly #keeper: SettingsKeeper;
  readonly #listener: SettingsWatcherListener;
  readonly #log: EventLog;
  #watchController = new AbortController();
  #isStopped = false;
  #keyRevision = 0;

  /** Starts to follow the head immediately. */
  constructor(
    service: KeyValueService,
    keeper: SettingsKeeper,
    { listener, log }: SettingsWatcherOptions,
  ) {
    this.#service = service;
    this.#keeper = keeper;
    this.#listener = listener;
    this.#log = log;
    void this.#follow();
  }

  /** Stops following. */
  stop(): void {
    this.#isStopped = true;
    this.#watchController.abort();
  }

  /** Cancels the current watch, which may be stale, and reads the head. */
  async refresh(): Promise<void> {
    this.#watchController.abort();
    this.#watchController = new AbortController();
    await this.#readOnce();
  }

  async #follow(): Promise<void> {
    await this.#readOnce();
    while (!this.#isStopped) {
      const isAnswered = await this.#watchOnce();
      const delay = isAnswered ? COALESCE_DELAY_MS : RETRY_DELAY_MS;
      if (!this.#isStopped) await sleep(delay, undefined, { ref: false });
    }
  }

  async #readOnce(): Promise<void> {
    const read = await this.#tryCall(() => this.#service.tryRead(HEAD_KEY));
    this.#listener.onReachable(read !== undefined);
    if (read !== undefined) await this.#tryApplyHead(read);
  }

  async #watchOnce(): Promise<boolean> {
    const { signal } = this.#watchController;
    const knownRevision = this.#keyRevision;
    const read = await this.#tryCall(() =>
      this.#service.watch(HEAD_KEY, { knownRevision, signal })
    );
    if (read === undefined) {
      if (!signal.aborted) this.#listener.onReachable(false);
      return false;
    }
    this.#listener.onReachable(true);
    return await this.#tryApplyHead(read);
  }

  /** Returns undefined if the service does not answer. */
  async #tryCall(
    call: () => Promise<KeyValueEntry | undefined>,
  ): Promise<ReadHead | undefined> {
    try {
      return { entry: await call() };
    } catch {
      return undefined;
    }
  }

  /**
   * Applies a head; an exception must not count as a service that does not answer.
   * Returns false if the head must be read again after a delay.
   */
  async #tryApplyHead({ entry }: ReadHead): Promise<boolean> {
    try {
      return await this.#applyHead(entry);
    } catch (error) {
      logInternalFault(this.#log, "the head of the settings", error);
      return false;
    }
  }

  /** Offers a head to the keeper; false if it must be read again after a delay. */
  async #applyHead(entry: KeyValueEntry | undefined): Promise<boolean> {
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
