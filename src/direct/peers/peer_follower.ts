/**
 * Queries other entries for settings and back ends while the store does not answer this
 * one. The store may reject single VMs and serve the others.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import type { RandomSource } from "../../core/random_source.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type { ReplicatedState } from "./replicated_state.ts";
import { PeerClient } from "./peer_client.ts";
import { choosePeers } from "./peer_choice.ts";
import type {
  KnownVersions,
  StoreUpdateMessage,
} from "../../messages/peer_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/**
 * Milliseconds between two rounds of queries. A leaving back end may receive requests for
 * two seconds, and settings may take effect two seconds late.
 */
const QUERY_INTERVAL_MS = 250;
/**
 * Number of rounds after which other entries are chosen, since the current ones may know
 * no more than this one.
 */
const ROUNDS_BEFORE_RESAMPLING = 12;

/** Options of a {@link PeerFollower}. */
export interface PeerFollowerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly ownAddress: SocketAddress;
  readonly seedAddresses: readonly SocketAddress[];
  readonly random: RandomSource;
  /** Returns what this entry knows already. */
  readonly getKnown: () => KnownVersions;
  readonly replicatedState: ReplicatedState;
  /** `askedAt` is when the query that the update answers was sent. */
  readonly onUpdate: (update: StoreUpdateMessage, askedAt?: number) => void;
}

/** Queries other entries while the store does not answer. */
export class PeerFollower {
  readonly #options: PeerFollowerOptions;
  #listed: readonly SocketAddress[] = [];
  readonly #clients = new Map<SocketAddress, PeerClient>();
  readonly #waiting = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;
  #rounds = 0;

  /** Sends no queries yet. */
  constructor(options: PeerFollowerOptions) {
    this.#options = options;
  }

  /** Sets the addresses of the entries registered in the store. */
  setListed(addresses: readonly SocketAddress[]): void {
    this.#listed = addresses;
  }

  /** Starts querying other entries. Runs until {@link stop}. */
  start(): void {
    if (this.#timer !== undefined) return;
    this.#rounds = 0;
    this.#dialSample();
    this.#timer = setInterval(() => this.#queryPeers(), QUERY_INTERVAL_MS);
  }

  /** Stops querying and closes all connections. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    for (const client of this.#clients.values()) client.stop();
    this.#clients.clear();
  }

  /**
   * Resolves with the next answer of any entry, whether or not it contains anything new.
   */
  nextAnswer(): Promise<void> {
    return new Promise((resolve) => this.#waiting.add(resolve));
  }

  #queryPeers(): void {
    this.#rounds++;
    if (this.#rounds % ROUNDS_BEFORE_RESAMPLING === 0) this.#dialSample();
    for (const client of this.#clients.values()) client.query();
  }

  #dialSample(): void {
    const { ownAddress, seedAddresses, random } = this.#options;
    const listed = this.#listed;
    const sample = choosePeers(
      { listed, seeds: seedAddresses, ownAddress },
      random,
    );
    for (const [address, client] of this.#clients) {
      if (sample.includes(address)) continue;
      client.stop();
      this.#clients.delete(address);
    }
    for (const address of sample) {
      if (!this.#clients.has(address)) this.#dial(address);
    }
  }

  #dial(address: SocketAddress): void {
    const { identity, log, getKnown, replicatedState } = this.#options;
    const client = new PeerClient({
      address,
      log,
      identity,
      getKnown,
      replicatedState,
      isFollowing: false,
      onUpdate: (update, askedAt) => this.#receive(update, askedAt),
      // The client reconnects by itself until another sample leaves out its address.
      onDisconnected: () => undefined,
    });
    client.query();
    this.#clients.set(address, client);
  }

  #receive(update: StoreUpdateMessage, askedAt: number | undefined): void {
    this.#options.onUpdate(update, askedAt);
    for (const resolve of this.#waiting) resolve();
    this.#waiting.clear();
  }
}
