/**
 * The settings of an entry: watches the head, exchanges settings with targets, accepts
 * changes, and restores settings that the key-value service lost.
 *
 * @module
 */
import type { EventLog } from "../events/event_log.ts";
import type { PeerBodySource } from "../settings/peer_body_source.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import { BodyCache, KeyValueBodySource } from "../settings/body_source.ts";
import { getReachableHashes } from "../settings/reachable.ts";
import { SettingsExchange } from "../settings/settings_exchange.ts";
import { SettingsKeeper } from "../settings/settings_keeper.ts";
import { SettingsRestorer } from "../settings/settings_restorer.ts";
import { SettingsWatcher } from "../settings/settings_watcher.ts";
import {
  type ChangeOutcome,
  type ChangeRequest,
  SettingsWriter,
} from "../settings/settings_writer.ts";
import { tryParseRecord } from "../settings/tree.ts";
import type { SettingsRecord } from "../settings/types.ts";
import type { SettingsSnapshot } from "../settings/snapshot.ts";

/** Options of {@link EntrySettings}. */
export interface EntrySettingsOptions {
  readonly keyValueService?: KeyValueService;
  readonly peers: PeerBodySource;
  readonly log: EventLog;
  readonly onSnapshot: (snapshot: SettingsSnapshot) => void;
}

/** The settings of an entry. */
export class EntrySettings {
  readonly keeper: SettingsKeeper;
  readonly exchange: SettingsExchange;
  readonly #options: EntrySettingsOptions;
  readonly #bodies = new BodyCache();
  readonly #writer: SettingsWriter | undefined;
  readonly #restorer: SettingsRestorer | undefined;
  #watcher: SettingsWatcher | undefined;
  #isRestoring = false;
  #isReachable: boolean | undefined;

  /** Creates the settings; {@link start} starts to watch the head. */
  constructor(options: EntrySettingsOptions) {
    this.#options = options;
    const { keyValueService, peers } = options;
    if (keyValueService !== undefined) {
      this.#bodies.addSource(new KeyValueBodySource(keyValueService));
      this.#writer = new SettingsWriter(keyValueService, this.#bodies);
      this.#restorer = new SettingsRestorer(keyValueService, this.#bodies);
    }
    this.#bodies.addSource(peers);
    this.keeper = new SettingsKeeper(this.#bodies, {
      onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
    });
    this.exchange = new SettingsExchange({
      keeper: this.keeper,
      bodies: this.#bodies,
      peers,
    });
  }

  /** Starts to watch the head. */
  start(): void {
    const { keyValueService } = this.#options;
    if (keyValueService === undefined) return;
    this.#watcher = new SettingsWatcher(keyValueService, this.keeper, {
      log: this.#options.log,
      listener: {
        onBehind: (revision) => void this.#restore(revision),
        onReachable: (isReachable) => this.#onReachable(isReachable),
      },
    });
  }

  /** Stops watching the head. */
  stop(): void {
    this.#watcher?.stop();
  }

  /** Reads the head immediately. */
  async refresh(): Promise<void> {
    await this.#watcher?.refresh();
  }

  /** Writes a change; if it is accepted, it takes effect in this process. */
  async write(change: ChangeRequest): Promise<ChangeOutcome> {
    if (this.#writer === undefined) {
      return {
        kind: "unavailable",
        cause: "No key-value service is configured",
      };
    }
    const outcome = await this.#writer.write(change);
    if (outcome.kind === "accepted") await this.keeper.offer(outcome.headText);
    return outcome;
  }

  /** Returns the record in force at a path. */
  async tryReadRecord(path: string): Promise<SettingsRecord | undefined> {
    const hash = this.keeper.snapshot?.tree.tryGet(path);
    return hash === undefined
      ? undefined
      : await this.tryReadRecordByHash(hash);
  }

  /** Returns a record by its hash. */
  async tryReadRecordByHash(hash: string): Promise<SettingsRecord | undefined> {
    const text = await this.#bodies.tryRead(hash);
    return text === undefined ? undefined : tryParseRecord(text);
  }

  #onSnapshot(snapshot: SettingsSnapshot): void {
    const { log, onSnapshot } = this.#options;
    log.write("SETTINGS_IN_FORCE", { revision: snapshot.head.revision });
    if (snapshot.unreadable.length > 0) {
      log.write("SETTINGS_UNREADABLE", {
        paths: snapshot.unreadable.join(" "),
      });
    }
    onSnapshot(snapshot);
    this.exchange.offerToAll();
    if (snapshot.changed === undefined) {
      this.#bodies.retain(getReachableHashes(snapshot));
    }
  }

  async #restore(revision: number): Promise<void> {
    const snapshot = this.keeper.snapshot;
    if (this.#isRestoring || snapshot === undefined) return;
    if (this.#restorer === undefined) return;
    this.#isRestoring = true;
    const { log } = this.#options;
    log.write("SETTINGS_WENT_BACK", {
      found: revision,
      inForce: snapshot.head.revision,
    });
    const outcome = await this.#restorer.restore(snapshot);
    this.#isRestoring = false;
    if (outcome.kind === "restored") {
      log.write("SETTINGS_RESTORED", { revision: snapshot.head.revision });
    }
    if (outcome.kind === "forked") {
      log.write("SETTINGS_FORKED", { found: outcome.revision });
    }
  }

  #onReachable(isReachable: boolean): void {
    if (this.#isReachable === isReachable) return;
    this.#isReachable = isReachable;
    const name = isReachable ? "PLATFORM_REACHED" : "PLATFORM_UNREACHABLE";
    this.#options.log.write(name, { service: "key-value service" });
  }
}
