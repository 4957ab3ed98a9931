/**
 * Tells other entries what this one heard from the store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { Hono } from "hono";
import type { EventLog } from "../../events/event_log.ts";
import type { Link } from "../../links/link.ts";
import { type LinkIdentity, LinkServer } from "../../links/link_server.ts";
import { HttpListener } from "../../process/http_listener.ts";
import type { Directory } from "../directory_follower.ts";
import type { SettingsInUse } from "../settings_follower.ts";
import type { StoreNewsMessage, StoreNewsQueryMessage } from "./types.ts";

/** Bytes on their way to a follower beyond which it is told nothing more. */
const MOST_UNSENT_BYTES = 65_536;

/** What an entry knows from the store. */
export interface StoreKnowledge {
  readonly settings: SettingsInUse | undefined;
  readonly directory: Directory | undefined;
}

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly getKnowledge: () => StoreKnowledge;
}

/** Answers the queries of other entries. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #listener = new HttpListener(new Hono());
  /** Connections of those who follow. */
  readonly #followers = new Set<Link>();

  /** Does not listen yet. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    new LinkServer(this.#listener.server, {
      identity: options.identity,
      welcome: { pool: "entries", concurrency: 0 },
      listener: {
        onPeer: (link) => ({
          onMessage: (message) => {
            if (message.kind === "store_news_query") {
              this.#answer(link, message);
            }
          },
          // Whoever asks dials again.
          onClose: () => this.#followers.delete(link),
        }),
        onRejected: (fault) => {
          if (fault !== undefined) {
            options.log.write("PEER_REJECTED", { fault });
          }
        },
      },
    });
  }

  /**
   * Listens.
   *
   * @throws when the address cannot be had
   */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Closes all connections. */
  close(): void {
    this.#listener.close();
  }

  /** Tells those who follow which back ends the store listed just now. */
  tellFollowers(directory: Directory): void {
    const { settings } = this.#options.getKnowledge();
    const news = createReaderNews({ settings, directory }, performance.now());
    for (const link of this.#followers) {
      // One that does not read is better off with a list of its own.
      if (link.bufferedBytes > MOST_UNSENT_BYTES) continue;
      link.send(news);
    }
  }

  #answer(link: Link, query: StoreNewsQueryMessage): void {
    if (query.isFollowing === true) this.#followers.add(link);
    const knowledge = this.#options.getKnowledge();
    link.send(createNews(knowledge, query, performance.now()));
  }
}

/**
 * What of the knowledge is news to the asker; `now` in milliseconds.
 *
 * @example
 * ```ts
 * const news = createNews(knowledge, { kind: "store_news_query" }, now);
 * ```
 */
export function createNews(
  { settings, directory }: StoreKnowledge,
  query: StoreNewsQueryMessage,
  now: number,
): StoreNewsMessage {
  const hasNewerSettings = settings !== undefined &&
    settings.settings.version > (query.settingsVersion ?? -1);
  const hasNewerDirectory = directory !== undefined &&
    directory.revision > (query.directoryRevision ?? -1);
  return {
    kind: "store_news",
    settingsText: hasNewerSettings ? settings.text : undefined,
    directory: hasNewerDirectory
      ? {
        instances: directory.instances,
        revision: directory.revision,
        ageMs: Math.max(0, now - directory.askedAt),
      }
      : undefined,
  };
}

/**
 * What the reader of a failure domain tells those who follow it. They hear settings from
 * the store themselves; the version shows them that they should have, where a connection
 * is dead without a sign.
 */
export function createReaderNews(
  { settings, directory }: StoreKnowledge & { readonly directory: Directory },
  now: number,
): StoreNewsMessage {
  const { instances, revision, askedAt } = directory;
  return {
    kind: "store_news",
    settingsVersion: settings?.settings.version,
    directory: { instances, revision, ageMs: Math.max(0, now - askedAt) },
  };
}
