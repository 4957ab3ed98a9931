/**
 * Hears the list of back ends from the entry that reads it for the failure domain,
 * so that not every entry has to ask the store as often.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { LinkClient } from "../../links/link_client.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import { type ListedEntry, tryChooseReader } from "./peer_choice.ts";
import type { StoreNewsMessage, StoreNewsQueryMessage } from "./types.ts";

/** Options of a {@link ReaderFollower}. */
export interface ReaderFollowerOptions {
  readonly identity: LinkIdentity;
  readonly self: ListedEntry;
  /** What this entry has already. */
  readonly getQuery: () => StoreNewsQueryMessage;
  readonly onNews: (news: StoreNewsMessage, receivedAt: number) => void;
}

/** Hears the list of back ends from the reader of the failure domain. */
export class ReaderFollower {
  readonly #options: ReaderFollowerOptions;
  #client: LinkClient | undefined;
  #address: string | undefined;

  /** Dials nobody yet. */
  constructor(options: ReaderFollowerOptions) {
    this.#options = options;
  }

  /** The list of processes changed: another entry may be the reader now. */
  setListed(entries: readonly ListedEntry[]): void {
    const reader = tryChooseReader(entries, this.#options.self);
    if (reader?.address === this.#address) return;
    this.stop();
    if (reader !== undefined) this.#dial(reader.address);
  }

  /** Hears no more. */
  stop(): void {
    this.#client?.stop();
    this.#client = undefined;
    this.#address = undefined;
  }

  #dial(address: string): void {
    const { identity, getQuery, onNews } = this.#options;
    this.#address = address;
    this.#client = new LinkClient({
      address,
      role: "entry",
      identity,
      listener: {
        onConnected: (link) => link.send({ ...getQuery(), isFollowing: true }),
        onMessage: (message) => {
          if (message.kind === "store_news") {
            onNews(message, performance.now());
          }
        },
        // The client dials again; until then this entry asks the store itself.
        onDisconnected: () => undefined,
        onDialFailed: () => undefined,
      },
    });
  }
}
