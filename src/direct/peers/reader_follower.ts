/**
 * Queries the entry that reads the platform's store for this one, and receives its
 * updates.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type { ReplicatedState } from "./replicated_state.ts";
import { PeerClient } from "./peer_client.ts";
import type {
  KnownVersions,
  StoreUpdateMessage,
} from "../../messages/peer_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/** Options of {@link ReaderFollower}. */
export interface ReaderFollowerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  /** Returns what this entry knows already. */
  readonly getKnown: () => KnownVersions;
  readonly replicatedState: ReplicatedState;
  /** `askedAt` is when the query that the update answers was sent. */
  readonly onUpdate: (
    update: StoreUpdateMessage,
    from: { readonly address: SocketAddress; readonly askedAt?: number },
  ) => void;
  readonly onLost: (address: SocketAddress) => void;
}

/** Keeps a connection to the entry that was queried last. */
export class ReaderFollower {
  readonly #options: ReaderFollowerOptions;
  #client: PeerClient | undefined;
  #address: SocketAddress | undefined;

  /** Connects to no entry yet. */
  constructor(options: ReaderFollowerOptions) {
    this.#options = options;
  }

  /** Queries an entry. Closes the connection to any other entry queried before. */
  query(address: SocketAddress): void {
    if (address !== this.#address) this.#dial(address);
    this.#client?.query();
  }

  /** Queries the last queried entry again, if any. */
  queryAgain(): void {
    this.#client?.query();
  }

  /** Closes the connection. */
  stop(): void {
    this.#client?.stop();
    this.#client = undefined;
    this.#address = undefined;
  }

  #dial(address: SocketAddress): void {
    this.stop();
    const { identity, log, getKnown, replicatedState, onUpdate, onLost } =
      this.#options;
    this.#address = address;
    this.#client = new PeerClient({
      address,
      log,
      identity,
      getKnown,
      replicatedState,
      isFollowing: true,
      onUpdate: (update, askedAt) => onUpdate(update, { address, askedAt }),
      onDisconnected: () => onLost(address),
    });
  }
}
