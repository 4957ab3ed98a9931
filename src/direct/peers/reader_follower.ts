/**
 * Asks the entry that reads the platform's store for this one, and hears its news.
 *
 * @module
 */
import type { LinkIdentity } from "../../links/link_server.ts";
import type { EntryMemories } from "./entry_memories.ts";
import { PeerClient } from "./peer_client.ts";
import type { KnownNews, StoreNewsMessage } from "../../messages/peer_types.ts";

/** Options of {@link ReaderFollower}. */
export interface ReaderFollowerOptions {
  readonly identity: LinkIdentity;
  /** What this entry has already. */
  readonly getKnown: () => KnownNews;
  readonly memories: EntryMemories;
  /** `askedAt` is when the question that this answers was sent. */
  readonly onNews: (
    news: StoreNewsMessage,
    from: { readonly address: string; readonly askedAt?: number },
  ) => void;
  readonly onLost: (address: string) => void;
}

/** Keeps a connection to the entry that was asked last. */
export class ReaderFollower {
  readonly #options: ReaderFollowerOptions;
  #client: PeerClient | undefined;
  #address: string | undefined;

  /** Dials nobody yet. */
  constructor(options: ReaderFollowerOptions) {
    this.#options = options;
  }

  /** Asks an entry; the connection to another one before it is closed. */
  ask(address: string): void {
    if (address !== this.#address) this.#dial(address);
    this.#client?.ask();
  }

  /** Asks the entry that was asked last, if any was. */
  askAgain(): void {
    this.#client?.ask();
  }

  /** Hears no more. */
  stop(): void {
    this.#client?.stop();
    this.#client = undefined;
    this.#address = undefined;
  }

  #dial(address: string): void {
    this.stop();
    const { identity, getKnown, memories, onNews, onLost } = this.#options;
    this.#address = address;
    this.#client = new PeerClient({
      address,
      identity,
      getKnown,
      memories,
      isFollowing: true,
      onNews: (news, askedAt) => onNews(news, { address, askedAt }),
      onDisconnected: () => onLost(address),
    });
  }
}
