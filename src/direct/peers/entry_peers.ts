/**
 * Handles an entry's communication with other entries: it answers their queries, follows
 * one of them that reads the platform's store for it, and queries some of them while the
 * store does not answer.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { RandomSource } from "../../core/random_source.ts";
import type { EventLog } from "../../events/event_log.ts";
import { tryHandle } from "../../events/internal_faults.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type {
  PermitOutcome,
  PermitRequest,
  PermitResponse,
} from "../../policy/send_permits.ts";
import type { Directory } from "../directory_follower.ts";
import type { DrainSet } from "../../messages/peer_types.ts";
import { readSettingsText } from "./compressed_settings.ts";
import type { ReplicatedState } from "./replicated_state.ts";
import { type ListedEntry, listReaderCandidates } from "./peer_choice.ts";
import { PeerFollower } from "./peer_follower.ts";
import { PeerServer } from "./peer_server.ts";
import { PermitRequester } from "./permit_requester.ts";
import { ReaderFollower } from "./reader_follower.ts";
import { ReaderPolicy } from "./reader_policy.ts";
import type { KnownStoreState } from "./store_update.ts";
import type {
  DirectoryUpdate,
  KnownVersions,
  ProcessUpdate,
  StoreUpdateMessage,
} from "../../messages/peer_types.ts";
import type { SocketAddress } from "../../messages/socket_address.ts";

/**
 * Milliseconds between two checks whether a reader should be queried or the store listed.
 */
const ACTION_INTERVAL_MS = 50;
/**
 * Maximum age of a reader's settings, as a fraction of the time for which a leaving back
 * end may still receive requests. A reader normally learns of new settings at once; the
 * limit detects one whose connection to the store has died unnoticed.
 */
const MAX_SETTINGS_AGE_FRACTION = 1.2;

/** Options of {@link EntryPeers}. */
export interface EntryPeersOptions {
  readonly identity: LinkIdentity;
  readonly self: ListedEntry;
  readonly seedAddresses: readonly SocketAddress[];
  /** Milliseconds for which a leaving back end may still receive requests. */
  readonly leavingLimitMs: number;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Returns the state of the store as known to this entry. */
  readonly getStoreState: () => KnownStoreState;
  readonly replicatedState: ReplicatedState;
  /** Issues permits to another entry for a target that has a limit. */
  readonly issuePermits: (target: string, count: number) => PermitResponse;
  /** Called with the outcome of a permit request. */
  readonly onPermits: (outcome: PermitOutcome) => void;
  readonly onSettings: (text: string) => void;
  /**
   * Called with another entry's drains and their age in milliseconds, before its
   * settings.
   */
  readonly onDrains: (drains: DrainSet, ageMs: number) => void;
  /** Called when a reader's settings were the newest at a time in milliseconds. */
  readonly onSettingsChecked: (checkedAt: number) => void;
  readonly onDirectory: (directory: Directory) => void;
  readonly onProcesses: (update: ProcessUpdate) => void;
  /** Called when the back ends should be listed from the store. */
  readonly onListDue: () => void;
  /**
   * Called when this entry starts or stops following a reader, which sends it all updates
   * of the store.
   */
  readonly onFollowingReaderChanged: (isFollowing: boolean) => void;
}

/** Handles an entry's communication with other entries. */
export class EntryPeers {
  readonly #options: EntryPeersOptions;
  readonly #server: PeerServer;
  readonly #peerFollower: PeerFollower;
  readonly #readerFollower: ReaderFollower;
  readonly #readerPolicy: ReaderPolicy;
  readonly #permitRequester: PermitRequester;
  #addresses: ReadonlyMap<string, SocketAddress> = new Map();
  #timer: NodeJS.Timeout | undefined;
  /** The value last passed to `onFollowingReaderChanged`. */
  #reportedFollowing: boolean | undefined;
  #hasListed = false;
  #candidateCount = 0;

  /** Neither listens nor sends queries yet. */
  constructor(options: EntryPeersOptions) {
    this.#options = options;
    const { identity, self, seedAddresses, random, log, replicatedState } =
      options;
    const getKnown = () => this.#getKnown();
    this.#readerPolicy = new ReaderPolicy(options.leavingLimitMs);
    this.#server = new PeerServer({
      identity,
      log,
      getStoreState: options.getStoreState,
      replicatedState,
      issuePermits: options.issuePermits,
    });
    this.#permitRequester = new PermitRequester({
      identity,
      log,
      tryAddress: (entry) => this.#addresses.get(entry),
      onOutcome: options.onPermits,
    });
    this.#peerFollower = new PeerFollower({
      identity,
      log,
      ownAddress: self.address,
      seedAddresses,
      random,
      getKnown,
      replicatedState,
      onUpdate: (update, askedAt) => this.#applyUpdate(update, askedAt),
    });
    this.#readerFollower = new ReaderFollower({
      identity,
      log,
      getKnown,
      replicatedState,
      onUpdate: (update, { address, askedAt }) => {
        this.#applyUpdate(update, askedAt);
        if (askedAt === undefined) return;
        this.#onReaderAnswer(update, { address, askedAt });
      },
      onLost: (address) =>
        this.#readerPolicy.recordFailure(address, performance.now()),
    });
  }

  /**
   * Listens for connections from other entries.
   *
   * @throws when the address is not available
   */
  async listen(): Promise<void> {
    await this.#server.listen(this.#options.self.address);
  }

  /**
   * Starts querying peers and following the reader policy. The back ends are listed at
   * once, like settings and processes, so that callers can be served.
   */
  start(): void {
    this.#setFollowingReader(true);
    this.#peerFollower.start();
    this.#performNextAction();
    const { log } = this.#options;
    this.#timer = setInterval(
      () => tryHandle(log, "reader", () => this.#performNextAction()),
      ACTION_INTERVAL_MS,
    );
  }

  /** Whether a reader sends all updates of the store. */
  get isFollowingReader(): boolean {
    return this.#readerPolicy.isFollowingReader;
  }

  /** Closes all connections. */
  close(): void {
    clearInterval(this.#timer);
    this.#peerFollower.stop();
    this.#readerFollower.stop();
    this.#permitRequester.close();
    this.#server.close();
  }

  /** Sets the entries registered in the store, including this one. */
  setListed(entries: readonly ListedEntry[]): void {
    const { self } = this.#options;
    this.#addresses = new Map(
      entries.map(({ name, address }) => [name, address]),
    );
    this.#peerFollower.setListed(entries.map(({ address }) => address));
    const candidates = listReaderCandidates(entries, self);
    this.#candidateCount = candidates.addresses.length;
    this.#readerPolicy.setCandidates(candidates);
    this.#server.updateFollowers();
  }

  /** The store listed the back ends, so peers need not be queried for them. */
  onStoreListed(directory: Directory): void {
    // Without a list of processes, this entry does not know yet which entries it could
    // query.
    const { processes } = this.#options.getStoreState();
    if (this.#isWithoutReader) this.#peerFollower.start();
    else if (processes.revision > 0) this.#peerFollower.stop();
    this.#readerPolicy.recordListing(directory.askedAt);
    this.#server.updateFollowers();
  }

  /**
   * Whether other entries exist but none is followed as a reader. The entry then queries
   * peers, because the replicated state is in no store: without queries it would neither
   * send nor receive, for example, the crash history of a request.
   */
  get #isWithoutReader(): boolean {
    return this.#candidateCount > 0 && !this.#readerPolicy.isFollowingReader;
  }

  /** The store does not answer: peers are queried until it does. */
  onStoreUnavailable(): void {
    this.#peerFollower.start();
  }

  /**
   * Stops relying on the reader after this process was frozen, because earlier updates
   * do not cover the time since.
   */
  invalidateReader(): void {
    this.#setFollowingReader(false);
  }

  /** Sends followers the changed settings or drains. */
  onStoreStateChanged(): void {
    this.#server.updateFollowers();
  }

  /**
   * Sends the changed replicated state to the followers and the reader at once, so that
   * it arrives before it is needed.
   */
  onReplicatedStateChanged(): void {
    this.#server.updateFollowers();
    this.#readerFollower.queryAgain();
  }

  /** Requests permits from another entry. */
  requestPermits(request: PermitRequest): void {
    this.#permitRequester.request(request);
  }

  /** Resolves with the next answer of a queried peer. */
  nextAnswer(): Promise<void> {
    return this.#peerFollower.nextAnswer();
  }

  #performNextAction(): void {
    const action = this.#readerPolicy.nextAction(performance.now());
    if (action.kind === "ask") this.#readerFollower.query(action.address);
    if (action.kind === "list") {
      if (this.#hasListed) this.#setFollowingReader(false);
      this.#hasListed = true;
      this.#options.onListDue();
    }
  }

  #onReaderAnswer(
    update: StoreUpdateMessage,
    { address, askedAt }: {
      readonly address: SocketAddress;
      readonly askedAt: number;
    },
  ): void {
    const { isReading, directory } = update;
    const { settingsAgeMs = Number.POSITIVE_INFINITY } = update;
    const maxAgeMs = this.#options.leavingLimitMs * MAX_SETTINGS_AGE_FRACTION;
    const now = performance.now();
    // A reader that the store does not answer only knows what its own followers sent to
    // it.
    const isUsable = isReading && settingsAgeMs <= maxAgeMs;
    const ageMs = isUsable ? directory?.ageMs : undefined;
    this.#readerPolicy.recordAnswer(address, { askedAt, ageMs }, now);
    if (!this.#readerPolicy.isFollowingReader) return;
    this.#setFollowingReader(true);
    this.#peerFollower.stop();
  }

  #setFollowingReader(isFollowing: boolean): void {
    if (isFollowing === this.#reportedFollowing) return;
    this.#reportedFollowing = isFollowing;
    const { log, onFollowingReaderChanged } = this.#options;
    log.write("STORE_READER_CHANGED", {
      isLed: isFollowing,
      candidates: this.#candidateCount,
    });
    onFollowingReaderChanged(isFollowing);
  }

  #getKnown(): KnownVersions {
    const { settings, directory, processes, drains } = this.#options
      .getStoreState();
    return {
      settingsVersion: settings?.settings.version,
      directoryContent: directory?.content,
      processesRevision: processes.revision,
      drainsRevision: drains?.revision,
    };
  }

  #applyUpdate(
    update: StoreUpdateMessage,
    askedAt: number | undefined,
  ): void {
    const { settingsAgeMs, directory, processes, drains } = update;
    const { onSettings, onSettingsChecked, onDirectory, onProcesses } =
      this.#options;
    this.#options.replicatedState.apply(update.memories, performance.now());
    if (drains !== undefined) {
      this.#options.onDrains(drains, settingsAgeMs ?? 0);
    }
    const settingsText = this.#tryReadSettings(update);
    if (settingsText !== undefined) onSettings(settingsText);
    if (askedAt !== undefined && settingsAgeMs !== undefined) {
      onSettingsChecked(askedAt - settingsAgeMs);
    }
    const listed = directory && this.#tryReadDirectory(directory, askedAt);
    if (listed !== undefined) onDirectory(listed);
    if (processes !== undefined) onProcesses(processes);
    this.#server.updateFollowers();
  }

  #tryReadSettings(update: StoreUpdateMessage): string | undefined {
    const text = readSettingsText(update);
    if (text.isOk()) return text.value;
    this.#options.log.write("SETTINGS_REFUSED", {
      source: "entry",
      findings: text.error.message,
    });
    return undefined;
  }

  /**
   * Converts a list to this process's clock. Its age counts from when it was requested.
   */
  #tryReadDirectory(
    { revision, ageMs, content, instances }: DirectoryUpdate,
    askedAt: number | undefined,
  ): Directory | undefined {
    const known = this.#options.getStoreState().directory;
    const isSame = known?.content === content;
    const listed = instances ?? (isSame ? known?.instances : undefined);
    if (listed === undefined) return undefined;
    return {
      instances: listed,
      revision,
      content,
      // An unrequested update has no request time. It is only known to be newer than the
      // previous one.
      askedAt: askedAt === undefined
        ? known?.askedAt ?? Number.NEGATIVE_INFINITY
        : askedAt - ageMs,
    };
  }
}
