/**
 * Asks other entries for settings and back ends while the store does not answer
 * this one: the store may turn single machines away and serve the others.
 *
 * @module
 */
import type { RandomSource } from "../../core/random_source.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type { EntryMemories } from "./entry_memories.ts";
import { PeerClient } from "./peer_client.ts";
import { choosePeers } from "./peer_choice.ts";
import type { KnownNews, StoreNewsMessage } from "../../messages/peer_types.ts";

/**
 * Milliseconds between two rounds of questions. A back end that leaves may be sent
 * work for two seconds, settings may be in force two seconds late.
 */
const ASK_INTERVAL_MS = 250;
/** Rounds after which other entries are drawn: those asked may know no more. */
const ROUNDS_BEFORE_REDRAW = 12;

/** Options of a {@link PeerFollower}. */
export interface PeerFollowerOptions {
  readonly identity: LinkIdentity;
  readonly ownAddress: string;
  readonly seedAddresses: readonly string[];
  readonly random: RandomSource;
  /** What this entry has already. */
  readonly getKnown: () => KnownNews;
  readonly memories: EntryMemories;
  /** `askedAt` is when the question that this answers was sent. */
  readonly onNews: (news: StoreNewsMessage, askedAt?: number) => void;
}

/** Asks other entries while the store does not answer. */
export class PeerFollower {
  readonly #options: PeerFollowerOptions;
  #listed: readonly string[] = [];
  readonly #clients = new Map<string, PeerClient>();
  readonly #waiting = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;
  #rounds = 0;

  /** Asks nobody yet. */
  constructor(options: PeerFollowerOptions) {
    this.#options = options;
  }

  /** Addresses of the entries that list themselves in the store. */
  setListed(addresses: readonly string[]): void {
    this.#listed = addresses;
  }

  /** The store does not answer: asks others, until {@link stop}. */
  start(): void {
    if (this.#timer !== undefined) return;
    this.#rounds = 0;
    this.#dialDrawn();
    this.#timer = setInterval(() => this.#ask(), ASK_INTERVAL_MS);
  }

  /** The store answers again, or the process ends. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    for (const client of this.#clients.values()) client.stop();
    this.#clients.clear();
  }

  /** Settles with the next answer of any entry, whether or not it is news. */
  nextAnswer(): Promise<void> {
    return new Promise((resolve) => this.#waiting.add(resolve));
  }

  #ask(): void {
    this.#rounds++;
    if (this.#rounds % ROUNDS_BEFORE_REDRAW === 0) this.#dialDrawn();
    for (const client of this.#clients.values()) client.ask();
  }

  #dialDrawn(): void {
    const { ownAddress, seedAddresses, random } = this.#options;
    const listed = this.#listed;
    const drawn = choosePeers(
      { listed, seeds: seedAddresses, ownAddress },
      random,
    );
    for (const [address, client] of this.#clients) {
      if (drawn.includes(address)) continue;
      client.stop();
      this.#clients.delete(address);
    }
    for (const address of drawn) {
      if (!this.#clients.has(address)) this.#dial(address);
    }
  }

  #dial(address: string): void {
    const { identity, getKnown, memories } = this.#options;
    const client = new PeerClient({
      address,
      identity,
      getKnown,
      memories,
      isFollowing: false,
      onNews: (news, askedAt) => this.#receive(news, askedAt),
      // The client dials again, and the next draw may leave the address out.
      onDisconnected: () => undefined,
    });
    client.ask();
    this.#clients.set(address, client);
  }

  #receive(news: StoreNewsMessage, askedAt: number | undefined): void {
    this.#options.onNews(news, askedAt);
    for (const resolve of this.#waiting) resolve();
    this.#waiting.clear();
  }
}
