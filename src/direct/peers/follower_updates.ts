/**
 * Sends the entries that follow this one what it knows from the store, and its replicated
 * state.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import type {
  KnownVersions,
  StoreUpdateMessage,
  StoreUpdateQueryMessage,
} from "../../messages/peer_types.ts";
import { SettingsCompressor } from "./compressed_settings.ts";
import {
  areDigestsEqual,
  EMPTY_DIGESTS,
  getDigests,
  type ReplicatedState,
  type StateDigests,
  type StateReplicator,
} from "./replicated_state.ts";
import {
  createStoreUpdate,
  hasNewerSettings,
  hasUpdate,
  type KnownStoreState,
  mergeKnown,
  type StoreUpdate,
} from "./store_update.ts";

/**
 * Maximum number of unsent bytes on a connection. Beyond it, newer settings wait: only the
 * newest version is sent as soon as the earlier one has left.
 */
const MAX_UNSENT_BYTES = 65_536;

/** The part of a connection to a follower that is used here. */
export interface FollowerLink {
  /** Bytes that the connection has not sent yet. */
  readonly bufferedBytes: number;
  send(message: StoreUpdateMessage): void;
}

/** Options of {@link FollowerUpdates}. */
export interface FollowerUpdatesOptions {
  readonly log: EventLog;
  /** Returns the current time in milliseconds. */
  readonly getTime: () => number;
  readonly getStoreState: () => KnownStoreState;
  readonly replicatedState: ReplicatedState;
}

/** A connection to another entry, and what was sent over it. */
interface Connection {
  readonly link: FollowerLink;
  readonly replicator: StateReplicator;
  acceptsCompression: boolean;
  /** Version of the newest settings that were sent; they arrive, as the order is kept. */
  sentSettings?: number;
  /** When settings became known here that are newer than those sent, in milliseconds. */
  unsentSince?: number;
  /** What the other entry knows; undefined unless it follows this entry. */
  known?: KnownVersions;
  /** Digests of this entry's replicated state when it was last sent. */
  digests: StateDigests;
}

/** Sends updates to the entries that are connected to this one. */
export class FollowerUpdates {
  readonly #options: FollowerUpdatesOptions;
  readonly #connections = new Map<FollowerLink, Connection>();
  readonly #compressor = new SettingsCompressor();

  /** Starts without connections. */
  constructor(options: FollowerUpdatesOptions) {
    this.#options = options;
  }

  /** Adds a connection from another entry, which does not follow this one yet. */
  add(link: FollowerLink): void {
    const replicator = this.#options.replicatedState.createReplicator();
    this.#connections.set(link, {
      link,
      replicator,
      acceptsCompression: false,
      digests: EMPTY_DIGESTS,
    });
  }

  /** Removes a connection that was closed. A follower reconnects by itself. */
  remove(link: FollowerLink): void {
    this.#connections.delete(link);
  }

  /** Answers a query; its sender becomes a follower if it requests that. */
  answer(link: FollowerLink, query: StoreUpdateQueryMessage): void {
    const connection = this.#connections.get(link);
    if (connection === undefined) return;
    const { getTime, replicatedState } = this.#options;
    replicatedState.apply(query.memories, getTime());
    connection.acceptsCompression = query.acceptsCompression ?? false;
    const known = addSentSettings(query, connection);
    const state = this.#getSendableState(connection, known);
    const memories = connection.replicator.createUpdate(
      getDigests(query.memories),
      getTime(),
    );
    const { queryId } = query;
    link.send({
      ...this.#createUpdate(connection, state, known),
      memories,
      queryId,
    });
    if (query.isFollowing) this.#recordSent(connection, state, known);
  }

  /** Sends each follower the changes that it does not know yet. */
  send(): void {
    const sent = { followers: 0, skipped: 0 };
    for (const connection of this.#connections.values()) {
      if (connection.known === undefined) continue;
      const { sentSettings, unsentSince } = connection;
      this.#sendTo(connection, connection.known);
      if (connection.sentSettings !== sentSettings) sent.followers++;
      else if (connection.unsentSince !== unsentSince) sent.skipped++;
    }
    this.#logSettingsSent(sent);
  }

  #sendTo(connection: Connection, known: KnownVersions): void {
    const { link, replicator, digests } = connection;
    const { digests: own } = this.#options.replicatedState;
    const state = this.#getSendableState(connection, known);
    // A follower that does not keep up should list the store itself instead.
    if (link.bufferedBytes > MAX_UNSENT_BYTES) return;
    if (!hasUpdate(state, known) && areDigestsEqual(digests, own)) return;
    const memories = replicator.createUpdate(digests, this.#options.getTime());
    link.send({ ...this.#createUpdate(connection, state, known), memories });
    this.#recordSent(connection, state, known);
  }

  /**
   * Returns the state of the store without settings that the connection cannot take yet,
   * and as old as these make it.
   */
  #getSendableState(
    connection: Connection,
    known: KnownVersions,
  ): KnownStoreState {
    const state = this.#options.getStoreState();
    const mustWait = hasNewerSettings(state, known) &&
      connection.link.bufferedBytes > MAX_UNSENT_BYTES;
    if (!mustWait) {
      connection.unsentSince = undefined;
      return state;
    }
    connection.unsentSince ??= this.#options.getTime();
    const { settingsCheckedAt } = state;
    return {
      ...state,
      settings: undefined,
      settingsCheckedAt: Math.min(settingsCheckedAt, connection.unsentSince),
    };
  }

  #createUpdate(
    connection: Connection,
    state: KnownStoreState,
    known: KnownVersions,
  ): StoreUpdate {
    const update = createStoreUpdate(state, known, this.#options.getTime());
    const { settingsText } = update;
    if (settingsText === undefined) return update;
    connection.sentSettings = state.settings?.settings.version;
    if (!connection.acceptsCompression) return update;
    const compressedSettings = this.#compressor.compress(settingsText);
    return { ...update, settingsText: undefined, compressedSettings };
  }

  #recordSent(
    connection: Connection,
    state: KnownStoreState,
    known: KnownVersions,
  ): void {
    connection.known = mergeKnown(state, known);
    connection.digests = this.#options.replicatedState.digests;
  }

  #logSettingsSent(
    sent: { readonly followers: number; readonly skipped: number },
  ): void {
    const { settings } = this.#options.getStoreState();
    if (settings === undefined || sent.followers + sent.skipped === 0) return;
    this.#options.log.write("SETTINGS_SENT", {
      revision: settings.settings.version,
      bytes: this.#compressor.compress(settings.text).length,
      ...sent,
    });
  }
}

/** Returns what a querier knows as soon as it has received all that was sent to it. */
function addSentSettings(
  query: KnownVersions,
  { sentSettings }: Connection,
): KnownVersions {
  if (sentSettings === undefined) return query;
  const settingsVersion = Math.max(sentSettings, query.settingsVersion ?? 0);
  return { ...query, settingsVersion };
}
