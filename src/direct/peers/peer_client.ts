/**
 * A connection to another entry that is queried for updates of the platform's store.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import { performance } from "node:perf_hooks";
import type { Link } from "../../links/link.ts";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import {
  EMPTY_DIGESTS,
  getDigests,
  type ReplicatedState,
  type StateReplicator,
} from "./replicated_state.ts";
import type {
  KnownVersions,
  StoreUpdateMessage,
} from "../../messages/peer_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/** Options of a {@link PeerClient}. */
export interface PeerClientOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  /** Host and port of the other entry. */
  readonly address: SocketAddress;
  /** Returns what this entry knows already. */
  readonly getKnown: () => KnownVersions;
  readonly replicatedState: ReplicatedState;
  /** Whether the other entry should send updates after its answer to each query. */
  readonly isFollowing: boolean;
  /**
   * Called for each update. `askedAt` is when the query that it answers was sent, in
   * milliseconds, and undefined for an update that does not answer the latest query.
   */
  readonly onUpdate: (update: StoreUpdateMessage, askedAt?: number) => void;
  readonly onDisconnected: () => void;
}

/** A connection to another entry, which is reconnected when it is lost. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  readonly #client: LinkClient;
  #link: Link | undefined;
  #queryId = 0;
  #queriedAt = 0;
  /** The digests of the other entry's state, as last received. */
  #peerDigests = EMPTY_DIGESTS;
  #replicator: StateReplicator;
  /** Whether a query waits for the connection. */
  #isQueryPending = false;

  /** Connects at once. */
  constructor(options: PeerClientOptions) {
    this.#options = options;
    const { address, identity, log, replicatedState } = options;
    this.#replicator = replicatedState.createReplicator();
    this.#client = new LinkClient({
      address,
      log,
      role: "entry",
      identity,
      listener: {
        onConnected: (link) => this.#onConnected(link),
        onMessage: (message) => {
          if (message.kind === "store_news") this.#receive(message);
        },
        onDisconnected: () => this.#onDisconnected(),
        onDialFailed: () => undefined,
      },
    });
  }

  /** Closes the connection. */
  stop(): void {
    this.#client.stop();
  }

  /** Sends a query, or waits for the connection if there is none. */
  query(): void {
    this.#isQueryPending = this.#link === undefined;
    if (this.#link === undefined) return;
    const { getKnown, isFollowing } = this.#options;
    this.#queriedAt = performance.now();
    this.#link.send({
      kind: "store_news_query",
      ...getKnown(),
      queryId: ++this.#queryId,
      isFollowing,
      acceptsCompression: true,
      memories: this.#replicator.createUpdate(
        this.#peerDigests,
        this.#queriedAt,
      ),
    });
  }

  #onConnected(link: Link): void {
    this.#link = link;
    if (this.#isQueryPending) this.query();
  }

  #onDisconnected(): void {
    this.#link = undefined;
    this.#peerDigests = EMPTY_DIGESTS;
    this.#replicator = this.#options.replicatedState.createReplicator();
    this.#options.onDisconnected();
  }

  #receive(update: StoreUpdateMessage): void {
    this.#peerDigests = getDigests(update.memories);
    const isLatest = update.queryId === this.#queryId;
    this.#options.onUpdate(update, isLatest ? this.#queriedAt : undefined);
  }
}
