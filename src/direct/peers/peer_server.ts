/**
 * Tells other entries what this one heard from the store, and what it remembers.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../../events/event_log.ts";
import type { Link } from "../../links/link.ts";
import { type LinkIdentity, LinkServer } from "../../links/link_server.ts";
import { HttpListener } from "../../process/http_listener.ts";
import type { Directory } from "../directory_follower.ts";
import type { DrainSet } from "../../messages/peer_types.ts";
import type { SettingsInUse } from "../settings_follower.ts";
import type { PermitAnswer } from "../../policy/send_permits.ts";
import {
  areSame,
  type EntryMemories,
  getContents,
  type MemoriesTeller,
  type MemoryContents,
} from "./entry_memories.ts";
import type {
  KnownNews,
  ProcessNews,
  SendPermitQueryMessage,
  StoreNewsMessage,
  StoreNewsQueryMessage,
} from "../../messages/peer_types.ts";

/** Bytes on their way to a follower beyond which it is told nothing more. */
const MOST_UNSENT_BYTES = 65_536;

/** What an entry knows from the store. */
export interface StoreKnowledge {
  /** Whether the store answers this entry, or the reader that it asks. */
  readonly isReading: boolean;
  readonly settings: SettingsInUse | undefined;
  /** When the store was asked whether there are newer settings, in milliseconds. */
  readonly settingsCheckedAt: number;
  /** The drains that the store holds; undefined before they were read. */
  readonly drains?: DrainSet;
  readonly directory: Directory | undefined;
  readonly processes: ProcessNews;
}

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly getKnowledge: () => StoreKnowledge;
  readonly memories: EntryMemories;
  /** Gives permits for a target that has named a limit. */
  readonly givePermits: (target: string, count: number) => PermitAnswer;
}

/** News of the store alone. */
type StoreNews = Omit<StoreNewsMessage, "memories">;

/** What one that follows has been told. */
interface Follower {
  readonly known: KnownNews;
  /** What it remembers, in short. */
  readonly contents: MemoryContents;
  readonly teller: MemoriesTeller;
}

/** Answers the queries of other entries. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #listener = new HttpListener();
  /** Connections of those who follow, with what they were told. */
  readonly #followers = new Map<Link, Follower>();

  /** Does not listen yet. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    new LinkServer(this.#listener.server, {
      identity: options.identity,
      welcome: { pool: "entries", concurrency: 0 },
      listener: {
        onPeer: (link) => {
          const teller = options.memories.createTeller();
          return {
            onMessage: (message) => {
              if (message.kind === "store_news_query") {
                this.#answer(link, message, teller);
              }
              if (message.kind === "send_permit_query") {
                this.#givePermits(link, message);
              }
            },
            // Whoever asks dials again.
            onClose: () => this.#followers.delete(link),
          };
        },
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

  /** Tells those who follow what is news to them. */
  tellFollowers(): void {
    const knowledge = this.#options.getKnowledge();
    const { contents: own } = this.#options.memories;
    for (const [link, { known, contents, teller }] of this.#followers) {
      // One that does not read is better off with a list of its own.
      if (link.bufferedBytes > MOST_UNSENT_BYTES) continue;
      if (!hasNews(knowledge, known) && areSame(contents, own)) continue;
      const now = performance.now();
      link.send({
        ...createNews(knowledge, known, now),
        memories: teller.tell(contents, now),
      });
      this.#follow(link, knownAfter(knowledge, known), teller);
    }
  }

  #follow(link: Link, known: KnownNews, teller: MemoriesTeller): void {
    const { contents } = this.#options.memories;
    this.#followers.set(link, { known, contents, teller });
  }

  #givePermits(
    link: Link,
    { queryId, target, count }: SendPermitQueryMessage,
  ): void {
    const answer = this.#options.givePermits(target, count);
    link.send({ kind: "send_permits", queryId, ...answer });
  }

  #answer(
    link: Link,
    query: StoreNewsQueryMessage,
    teller: MemoriesTeller,
  ): void {
    const { getKnowledge, memories } = this.#options;
    memories.take(query.memories, performance.now());
    const knowledge = getKnowledge();
    if (query.isFollowing) {
      this.#follow(link, knownAfter(knowledge, query), teller);
    }
    const now = performance.now();
    link.send({
      ...createNews(knowledge, query, now),
      memories: teller.tell(getContents(query.memories), now),
      queryId: query.queryId,
    });
  }
}

/**
 * What of the knowledge is news to the asker; `now` in milliseconds.
 *
 * @example
 * ```ts
 * const news = createNews(knowledge, { settingsVersion: 3 }, now);
 * ```
 */
export function createNews(
  knowledge: StoreKnowledge,
  known: KnownNews,
  now: number,
): StoreNews {
  const { isReading, settings, settingsCheckedAt, directory } = knowledge;
  const { processes, drains } = knowledge;
  const isListNew = directory?.content !== known.directoryContent;
  return {
    kind: "store_news",
    isReading,
    settingsText: hasNewerSettings(knowledge, known)
      ? settings?.text
      : undefined,
    settingsAgeMs: Number.isFinite(settingsCheckedAt)
      ? Math.max(0, now - settingsCheckedAt)
      : undefined,
    drains: hasNewerDrains(knowledge, known) ? drains : undefined,
    directory: directory && Number.isFinite(directory.askedAt)
      ? {
        revision: directory.revision,
        ageMs: Math.max(0, now - directory.askedAt),
        content: directory.content,
        instances: isListNew ? directory.instances : undefined,
      }
      : undefined,
    processes: hasNewerProcesses(knowledge, known) ? processes : undefined,
  };
}

function hasNews(knowledge: StoreKnowledge, known: KnownNews): boolean {
  const { directory } = knowledge;
  return hasNewerSettings(knowledge, known) ||
    hasNewerProcesses(knowledge, known) ||
    hasNewerDrains(knowledge, known) ||
    (directory !== undefined && directory.content !== known.directoryContent);
}

function hasNewerSettings(
  { settings }: StoreKnowledge,
  { settingsVersion }: KnownNews,
): boolean {
  return settings !== undefined &&
    settings.settings.version > (settingsVersion ?? -1);
}

function hasNewerProcesses(
  { processes }: StoreKnowledge,
  { processesRevision }: KnownNews,
): boolean {
  return processesRevision !== undefined &&
    processes.revision > processesRevision;
}

function hasNewerDrains(
  { drains }: StoreKnowledge,
  { drainsRevision }: KnownNews,
): boolean {
  return drains !== undefined && drains.revision > (drainsRevision ?? -1);
}

/** What an entry has once it was told what was news to it. */
function knownAfter(
  { settings, directory, processes, drains }: StoreKnowledge,
  known: KnownNews,
): KnownNews {
  return {
    settingsVersion: settings?.settings.version ?? known.settingsVersion,
    directoryContent: directory?.content ?? known.directoryContent,
    processesRevision: known.processesRevision === undefined
      ? undefined
      : Math.max(processes.revision, known.processesRevision),
    drainsRevision: drains === undefined
      ? known.drainsRevision
      : Math.max(drains.revision, known.drainsRevision ?? 0),
  };
}
