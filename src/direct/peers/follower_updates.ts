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
} from "./store_update.ts";

/**
 * Maximum number of unsent bytes to a follower. Beyond it, the follower gets no further
 * updates.
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
  readonly replicator: StateReplicator;
  /** What the other entry knows; undefined unless it follows this entry. */
  known?: KnownVersions;
  /** Digests of this entry's replicated state when it was last sent. */
  digests: StateDigests;
}

/** Sends updates to the entries that are connected to this one. */
export class FollowerUpdates {
  readonly #options: FollowerUpdatesOptions;
  readonly #connections = new Map<FollowerLink, Connection>();

  /** Starts without connections. */
  constructor(options: FollowerUpdatesOptions) {
    this.#options = options;
  }

  /** Adds a connection from another entry, which does not follow this one yet. */
  add(link: FollowerLink): void {
    const replicator = this.#options.replicatedState.createReplicator();
    this.#connections.set(link, { replicator, digests: EMPTY_DIGESTS });
  }

  /** Removes a connection that was closed. A follower reconnects by itself. */
  remove(link: FollowerLink): void {
    this.#connections.delete(link);
  }

  /** Answers a query; its sender becomes a follower if it requests that. */
  answer(link: FollowerLink, query: StoreUpdateQueryMessage): void {
    const connection = this.#connections.get(link);
    if (connection === undefined) return;
    const { getTime, getStoreState, replicatedState } = this.#options;
    replicatedState.apply(query.memories, getTime());
    const state = getStoreState();
    if (query.isFollowing) this.#recordSent(connection, state, query);
    const now = getTime();
    link.send({
      ...createStoreUpdate(state, query, now),
      memories: connection.replicator.createUpdate(
        getDigests(query.memories),
        now,
      ),
      queryId: query.queryId,
    });
  }

  /** Sends each follower the changes that it does not know yet. */
  send(): void {
    const state = this.#options.getStoreState();
    const sent = { followers: 0, skipped: 0 };
    for (const [link, connection] of this.#connections) {
      const { known } = connection;
      if (known === undefined) continue;
      const areSettingsNew = hasNewerSettings(state, known);
      // A follower that does not keep up should list the store itself instead.
      if (link.bufferedBytes > MAX_UNSENT_BYTES) {
        if (areSettingsNew) sent.skipped++;
        continue;
      }
      if (areSettingsNew) sent.followers++;
      this.#sendTo(link, connection, { state, known });
    }
    this.#logSettingsSent(state, sent);
  }

  #sendTo(
    link: FollowerLink,
    connection: Connection,
    { state, known }: {
      readonly state: KnownStoreState;
      readonly known: KnownVersions;
    },
  ): void {
    const { replicator, digests } = connection;
    const { digests: own } = this.#options.replicatedState;
    if (!hasUpdate(state, known) && areDigestsEqual(digests, own)) return;
    const now = this.#options.getTime();
    link.send({
      ...createStoreUpdate(state, known, now),
      memories: replicator.createUpdate(digests, now),
    });
    this.#recordSent(connection, state, known);
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
    { settings }: KnownStoreState,
    sent: { readonly followers: number; readonly skipped: number },
  ): void {
    if (settings === undefined || sent.followers + sent.skipped === 0) return;
    this.#options.log.write("SETTINGS_SENT", {
      revision: settings.settings.version,
      bytes: settings.text.length,
      ...sent,
    });
  }
}
