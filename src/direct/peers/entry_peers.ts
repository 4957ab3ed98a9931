/**
 * What an entry has to do with the other entries: it answers them, asks them while
 * the store does not answer, and leaves listings to one of its failure domain.
 *
 * @module
 */
import type { RandomSource } from "../../core/random_source.ts";
import type { EventLog } from "../../events/event_log.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type { Directory } from "../directory_follower.ts";
import type { ListedEntry } from "./peer_choice.ts";
import { PeerFollower } from "./peer_follower.ts";
import { PeerServer, type StoreKnowledge } from "./peer_server.ts";
import { ReaderFollower } from "./reader_follower.ts";
import type {
  DirectoryNews,
  StoreNewsMessage,
  StoreNewsQueryMessage,
} from "./types.ts";

/** Who told a list of back ends. */
export type NewsSource = "peer" | "reader";

/** Options of {@link EntryPeers}. */
export interface EntryPeersOptions {
  readonly identity: LinkIdentity;
  readonly self: ListedEntry;
  readonly seedAddresses: readonly string[];
  readonly random: RandomSource;
  readonly log: EventLog;
  /** What this entry heard from the store. */
  readonly getKnowledge: () => StoreKnowledge;
  readonly onSettings: (text: string) => void;
  /** Another entry has newer settings than this one heard of. */
  readonly onBehind: () => void;
  readonly onDirectory: (directory: Directory, source: NewsSource) => void;
}

/** What an entry has to do with the other entries. */
export class EntryPeers {
  readonly #options: EntryPeersOptions;
  readonly #server: PeerServer;
  readonly #asked: PeerFollower;
  readonly #reader: ReaderFollower;

  /** Neither listens nor asks yet. */
  constructor(options: EntryPeersOptions) {
    this.#options = options;
    const { identity, self, seedAddresses, random, log } = options;
    const getQuery = () => this.#createQuery();
    this.#server = new PeerServer({
      identity,
      log,
      getKnowledge: options.getKnowledge,
    });
    this.#asked = new PeerFollower({
      identity,
      ownAddress: self.address,
      seedAddresses,
      random,
      getQuery,
      onNews: (news, receivedAt) => this.#onNews(news, "peer", receivedAt),
    });
    this.#reader = new ReaderFollower({
      identity,
      self,
      getQuery,
      onNews: (news, receivedAt) => this.#onNews(news, "reader", receivedAt),
    });
  }

  /**
   * Listens for the other entries.
   *
   * @throws when the address cannot be had
   */
  async listen(): Promise<void> {
    await this.#server.listen(this.#options.self.address);
  }

  /** Closes all connections. */
  close(): void {
    this.#asked.stop();
    this.#reader.stop();
    this.#server.close();
  }

  /** The entries that list themselves in the store, this one included. */
  setListed(entries: readonly ListedEntry[]): void {
    this.#asked.setListed(entries.map(({ address }) => address));
    this.#reader.setListed(entries);
  }

  /** The store listed the back ends: nobody needs to be asked, all may hear. */
  storeAnswered(directory: Directory): void {
    this.#asked.stop();
    this.#server.tellFollowers(directory);
  }

  /** The store does not answer: other entries are asked until it does. */
  storeSilent(): void {
    this.#asked.start();
  }

  /** Settles with the next answer of an entry that is asked. */
  nextAnswer(): Promise<void> {
    return this.#asked.nextAnswer();
  }

  #createQuery(): StoreNewsQueryMessage {
    const { settings, directory } = this.#options.getKnowledge();
    return {
      kind: "store_news_query",
      settingsVersion: settings?.settings.version,
      directoryRevision: directory?.revision,
    };
  }

  #onNews(
    { settingsText, settingsVersion, directory }: StoreNewsMessage,
    source: NewsSource,
    receivedAt: number,
  ): void {
    const { onSettings, onBehind, onDirectory, getKnowledge } = this.#options;
    if (settingsText !== undefined) onSettings(settingsText);
    const known = getKnowledge().settings?.settings.version ?? -1;
    if ((settingsVersion ?? -1) > known) onBehind();
    if (directory === undefined) return;
    onDirectory(directoryOf(directory, receivedAt), source);
  }
}

/** What another entry told, on this process's clock. */
function directoryOf(news: DirectoryNews, receivedAt: number): Directory {
  const { instances, revision, ageMs } = news;
  return { instances, revision, askedAt: receivedAt - ageMs };
}
