/**
 * A connection to another entry that is asked for news of the platform's store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Link } from "../../links/link.ts";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import {
  type EntryMemories,
  getContents,
  type MemoriesTeller,
  NO_MEMORIES,
} from "./entry_memories.ts";
import type { KnownNews, StoreNewsMessage } from "../../messages/peer_types.ts";

/** Options of a {@link PeerClient}. */
export interface PeerClientOptions {
  readonly identity: LinkIdentity;
  /** Host and port of the other entry. */
  readonly address: string;
  /** What this entry has already. */
  readonly getKnown: () => KnownNews;
  readonly memories: EntryMemories;
  /** Whether news is to follow each question. */
  readonly isFollowing: boolean;
  /**
   * Called for all news; `askedAt` is when the question that it answers was sent, in
   * milliseconds, and undefined for news that follows.
   */
  readonly onNews: (news: StoreNewsMessage, askedAt?: number) => void;
  readonly onDisconnected: () => void;
}

/** A connection to another entry, which is dialled again when it is lost. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  readonly #client: LinkClient;
  #link: Link | undefined;
  #queryId = 0;
  #askedAt = 0;
  /** What the other entry said last that it remembers, in short. */
  #toldContents = NO_MEMORIES;
  #teller: MemoriesTeller;
  /** A question that waits for the connection. */
  #isWaiting = false;

  /** Dials at once. */
  constructor(options: PeerClientOptions) {
    this.#options = options;
    const { address, identity, memories } = options;
    this.#teller = memories.createTeller();
    this.#client = new LinkClient({
      address,
      role: "entry",
      identity,
      listener: {
        onConnected: (link) => this.#connected(link),
        onMessage: (message) => {
          if (message.kind === "store_news") this.#receive(message);
        },
        onDisconnected: () => this.#disconnected(),
        onDialFailed: () => undefined,
      },
    });
  }

  /** Closes the connection. */
  stop(): void {
    this.#client.stop();
  }

  /** Asks, at the latest once the connection is there. */
  ask(): void {
    this.#isWaiting = this.#link === undefined;
    if (this.#link === undefined) return;
    const { getKnown, isFollowing } = this.#options;
    this.#askedAt = performance.now();
    this.#link.send({
      kind: "store_news_query",
      ...getKnown(),
      queryId: ++this.#queryId,
      isFollowing,
      memories: this.#teller.tell(this.#toldContents, this.#askedAt),
    });
  }

  #connected(link: Link): void {
    this.#link = link;
    if (this.#isWaiting) this.ask();
  }

  #disconnected(): void {
    this.#link = undefined;
    this.#toldContents = NO_MEMORIES;
    this.#teller = this.#options.memories.createTeller();
    this.#options.onDisconnected();
  }

  #receive(news: StoreNewsMessage): void {
    this.#toldContents = getContents(news.memories);
    const isLatest = news.queryId === this.#queryId;
    this.#options.onNews(news, isLatest ? this.#askedAt : undefined);
  }
}
