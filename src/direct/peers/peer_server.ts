/**
 * Sends other entries what this one knows from the store, and its replicated state.
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
import type { PermitResponse } from "../../policy/send_permits.ts";
import {
  areDigestsEqual,
  getDigests,
  type ReplicatedState,
  type StateDigests,
  type StateReplicator,
} from "./replicated_state.ts";
import type {
  KnownVersions,
  ProcessUpdate,
  SendPermitQueryMessage,
  StoreUpdateMessage,
  StoreUpdateQueryMessage,
} from "../../messages/peer_types.ts";

/**
 * Maximum number of unsent bytes to a follower. Beyond it, the follower gets no further
 * updates.
 */
const MAX_UNSENT_BYTES = 65_536;

/** The state of the store as known to an entry. */
export interface KnownStoreState {
  /** Whether the store answers this entry, or the reader that it follows. */
  readonly isReading: boolean;
  readonly settings: SettingsInUse | undefined;
  /** When the store was last queried for newer settings, in milliseconds. */
  readonly settingsCheckedAt: number;
  /** The drains in the store; undefined until they were read. */
  readonly drains?: DrainSet;
  readonly directory: Directory | undefined;
  readonly processes: ProcessUpdate;
}

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly identity: LinkIdentity;
  readonly log: EventLog;
  readonly getStoreState: () => KnownStoreState;
  readonly replicatedState: ReplicatedState;
  /** Issues permits for a target that has a limit. */
  readonly issuePermits: (target: string, count: number) => PermitResponse;
}

/** An update of the store, without replicated state. */
type StoreUpdate = Omit<StoreUpdateMessage, "memories">;

/** The state that was sent to a follower. */
interface Follower {
  readonly known: KnownVersions;
  /** Digests of this entry's replicated state when it was last sent. */
  readonly digests: StateDigests;
  readonly replicator: StateReplicator;
}

/** Answers the queries of other entries. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #listener = new HttpListener();
  /** Connections of the followers, with the state that was sent to each. */
  readonly #followers = new Map<Link, Follower>();

  /** Does not listen yet. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    new LinkServer(this.#listener.server, {
      identity: options.identity,
      welcome: { pool: "entries", concurrency: 0 },
      listener: {
        onPeer: (link) => {
          const replicator = options.replicatedState.createReplicator();
          return {
            onMessage: (message) => {
              if (message.kind === "store_news_query") {
                this.#answer(link, message, replicator);
              }
              if (message.kind === "send_permit_query") {
                this.#issuePermits(link, message);
              }
            },
            // A follower reconnects by itself.
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
   * Listens on `address`.
   *
   * @throws when the address is not available
   */
  async listen(address: string): Promise<void> {
    await this.#listener.listen(address);
  }

  /** Closes all connections. */
  close(): void {
    this.#listener.close();
  }

  /** Sends each follower the changes that it does not know yet. */
  updateFollowers(): void {
    const state = this.#options.getStoreState();
    const { digests: own } = this.#options.replicatedState;
    const sent = { followers: 0, skipped: 0 };
    for (const [link, { known, digests, replicator }] of this.#followers) {
      const areSettingsNew = hasNewerSettings(state, known);
      // A follower that does not keep up should list the store itself instead.
      if (link.bufferedBytes > MAX_UNSENT_BYTES) {
        if (areSettingsNew) sent.skipped++;
        continue;
      }
      if (areSettingsNew) sent.followers++;
      if (!hasUpdate(state, known) && areDigestsEqual(digests, own)) continue;
      const now = performance.now();
      link.send({
        ...createStoreUpdate(state, known, now),
        memories: replicator.createUpdate(digests, now),
      });
      this.#follow(link, mergeKnown(state, known), replicator);
    }
    this.#logSettingsSent(state, sent);
  }

  #logSettingsSent(
    { settings }: KnownStoreState,
    sent: { readonly followers: number; readonly skipped: number },
  ): void {
    if (settings === undefined || sent.followers + sent.skipped === 0) return;
    this.#options.log.write("SETTINGS_SENT", {
      revision: settings.settings.version,
      bytes: settings.text.length,
      ...sent,
    });
  }

  #follow(link: Link, known: KnownVersions, replicator: StateReplicator): void {
    const { digests } = this.#options.replicatedState;
    this.#followers.set(link, { known, digests, replicator });
  }

  #issuePermits(
    link: Link,
    { queryId, target, count }: SendPermitQueryMessage,
  ): void {
    const answer = this.#options.issuePermits(target, count);
    link.send({ kind: "send_permits", queryId, ...answer });
  }

  #answer(
    link: Link,
    query: StoreUpdateQueryMessage,
    replicator: StateReplicator,
  ): void {
    const { getStoreState, replicatedState } = this.#options;
    replicatedState.apply(query.memories, performance.now());
    const state = getStoreState();
    if (query.isFollowing) {
      this.#follow(link, mergeKnown(state, query), replicator);
    }
    const now = performance.now();
    link.send({
      ...createStoreUpdate(state, query, now),
      memories: replicator.createUpdate(getDigests(query.memories), now),
      queryId: query.queryId,
    });
  }
}

/**
 * Creates an update with what the receiver does not know yet; `now` is in milliseconds.
 *
 * @example
 * ```ts
 * const update = createStoreUpdate(state, { settingsVersion: 3 }, now);
 * ```
 */
export function createStoreUpdate(
  state: KnownStoreState,
  known: KnownVersions,
  now: number,
): StoreUpdate {
  const { isReading, settings, settingsCheckedAt, directory } = state;
  const { processes, drains } = state;
  const isListNew = directory?.content !== known.directoryContent;
  return {
    kind: "store_news",
    isReading,
    settingsText: hasNewerSettings(state, known) ? settings?.text : undefined,
    settingsAgeMs: Number.isFinite(settingsCheckedAt)
      ? Math.max(0, now - settingsCheckedAt)
      : undefined,
    drains: hasNewerDrains(state, known) ? drains : undefined,
    directory: directory && Number.isFinite(directory.askedAt)
      ? {
        revision: directory.revision,
        ageMs: Math.max(0, now - directory.askedAt),
        content: directory.content,
        instances: isListNew ? directory.instances : undefined,
      }
      : undefined,
    processes: hasNewerProcesses(state, known) ? processes : undefined,
  };
}

function hasUpdate(state: KnownStoreState, known: KnownVersions): boolean {
  const { directory } = state;
  return hasNewerSettings(state, known) ||
    hasNewerProcesses(state, known) ||
    hasNewerDrains(state, known) ||
    (directory !== undefined && directory.content !== known.directoryContent);
}

function hasNewerSettings(
  { settings }: KnownStoreState,
  { settingsVersion }: KnownVersions,
): boolean {
  return settings !== undefined &&
    settings.settings.version > (settingsVersion ?? -1);
}

function hasNewerProcesses(
  { processes }: KnownStoreState,
  { processesRevision }: KnownVersions,
): boolean {
  return processesRevision !== undefined &&
    processes.revision > processesRevision;
}

function hasNewerDrains(
  { drains }: KnownStoreState,
  { drainsRevision }: KnownVersions,
): boolean {
  return drains !== undefined && drains.revision > (drainsRevision ?? -1);
}

/** Returns what a receiver knows after it received an update. */
function mergeKnown(
  { settings, directory, processes, drains }: KnownStoreState,
  known: KnownVersions,
): KnownVersions {
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
