/**
 * What an entry has to do with the other entries: it answers them, has one of them read
 * the platform's store for it, and asks some of them while the store does not answer.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { RandomSource } from "../../core/random_source.ts";
import type { EventLog } from "../../events/event_log.ts";
import type { LinkIdentity } from "../../links/link_server.ts";
import type {
  PermitAnswer,
  PermitOutcome,
  PermitQuestion,
} from "../../policy/send_permits.ts";
import type { Directory } from "../directory_follower.ts";
import type { DrainSet } from "../../messages/peer_types.ts";
import type { EntryMemories } from "./entry_memories.ts";
import { type ListedEntry, listReaderCandidates } from "./peer_choice.ts";
import { PeerFollower } from "./peer_follower.ts";
import { PeerServer, type StoreKnowledge } from "./peer_server.ts";
import { PermitAsker } from "./permit_asker.ts";
import { ReaderFollower } from "./reader_follower.ts";
import { ReaderTurns } from "./reader_turns.ts";
import type {
  DirectoryNews,
  KnownNews,
  ProcessNews,
  StoreNewsMessage,
} from "../../messages/peer_types.ts";

/** Milliseconds between two looks whether something is to be asked. */
const TURN_MS = 50;
/**
 * Age of settings, over the time for which a back end that leaves may be sent work, up to
 * which a reader is trusted with them. It hears of new ones at once; this is for one whose
 * connection to the store is dead without a sign.
 */
const OLDEST_SETTINGS_PART = 1.2;

/** Options of {@link EntryPeers}. */
export interface EntryPeersOptions {
  readonly identity: LinkIdentity;
  readonly self: ListedEntry;
  readonly seedAddresses: readonly string[];
  /** Milliseconds for which a back end that leaves may be sent work. */
  readonly leavingLimitMs: number;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** What this entry heard from the store. */
  readonly getKnowledge: () => StoreKnowledge;
  readonly memories: EntryMemories;
  /** Another entry asks for permits for a target that has named a limit. */
  readonly givePermits: (target: string, count: number) => PermitAnswer;
  /** What became of a question for permits. */
  readonly onPermits: (outcome: PermitOutcome) => void;
  readonly onSettings: (text: string) => void;
  /** Another entry's drains, so many milliseconds old; told before its settings. */
  readonly onDrains: (drains: DrainSet, ageMs: number) => void;
  /** A reader's settings were the newest at a time in milliseconds. */
  readonly onSettingsChecked: (checkedAt: number) => void;
  readonly onDirectory: (directory: Directory) => void;
  readonly onProcesses: (news: ProcessNews) => void;
  /** The back ends are to be listed from the store. */
  readonly onListTurn: () => void;
  /** Whether another entry tells all that the store says. */
  readonly onLed: (isLed: boolean) => void;
}

/** What an entry has to do with the other entries. */
export class EntryPeers {
  readonly #options: EntryPeersOptions;
  readonly #server: PeerServer;
  readonly #asked: PeerFollower;
  readonly #reader: ReaderFollower;
  readonly #turns: ReaderTurns;
  readonly #permits: PermitAsker;
  #addresses: ReadonlyMap<string, string> = new Map();
  #timer: NodeJS.Timeout | undefined;
  /** What was told last of whether a reader leads. */
  #toldLed: boolean | undefined;
  #hasListed = false;
  #candidateCount = 0;

  /** Neither listens nor asks yet. */
  constructor(options: EntryPeersOptions) {
    this.#options = options;
    const { identity, self, seedAddresses, random, log, memories } = options;
    const getKnown = () => this.#known();
    this.#turns = new ReaderTurns(options.leavingLimitMs);
    this.#server = new PeerServer({
      identity,
      log,
      getKnowledge: options.getKnowledge,
      memories,
      givePermits: options.givePermits,
    });
    this.#permits = new PermitAsker({
      identity,
      tryAddress: (entry) => this.#addresses.get(entry),
      onOutcome: options.onPermits,
    });
    this.#asked = new PeerFollower({
      identity,
      ownAddress: self.address,
      seedAddresses,
      random,
      getKnown,
      memories,
      onNews: (news, askedAt) => this.#take(news, askedAt),
    });
    this.#reader = new ReaderFollower({
      identity,
      getKnown,
      memories,
      onNews: (news, { address, askedAt }) => {
        this.#take(news, askedAt);
        if (askedAt === undefined) return;
        this.#readerAnswered(news, { address, askedAt });
      },
      onLost: (address) => this.#turns.noteFailed(address, performance.now()),
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

  /**
   * Lists the back ends at once, as settings and processes are read at once, so that callers
   * are served; then takes turns.
   */
  start(): void {
    this.#tellLed(true);
    this.#asked.start();
    this.#takeTurn();
    this.#timer = setInterval(() => this.#takeTurn(), TURN_MS);
  }

  /** Whether a reader tells all that the store says. */
  get isLed(): boolean {
    return this.#turns.isLed;
  }

  /** Closes all connections. */
  close(): void {
    clearInterval(this.#timer);
    this.#asked.stop();
    this.#reader.stop();
    this.#permits.close();
    this.#server.close();
  }

  /** The entries that list themselves in the store, this one included. */
  setListed(entries: readonly ListedEntry[]): void {
    const { self } = this.#options;
    this.#addresses = new Map(
      entries.map(({ name, address }) => [name, address]),
    );
    this.#asked.setListed(entries.map(({ address }) => address));
    const candidates = listReaderCandidates(entries, self);
    this.#candidateCount = candidates.addresses.length;
    this.#turns.setCandidates(candidates);
    this.#server.tellFollowers();
  }

  /** The store listed the back ends: nobody needs to be asked for them. */
  storeAnswered(directory: Directory): void {
    // Without a list of processes nobody is known yet who could be asked.
    const { processes } = this.#options.getKnowledge();
    if (this.#isAlone) this.#asked.start();
    else if (processes.revision > 0) this.#asked.stop();
    this.#turns.noteListed(directory.askedAt);
    this.#server.tellFollowers();
  }

  /**
   * What entries remember is in no store. While this one asks no reader, it asks others, or
   * it would neither tell nor hear of a request that ends targets.
   */
  get #isAlone(): boolean {
    return this.#candidateCount > 0 && !this.#turns.isLed;
  }

  /** The store does not answer: other entries are asked until it does. */
  storeSilent(): void {
    this.#asked.start();
  }

  /** This process stood still: what others told before says nothing of the meantime. */
  doubt(): void {
    this.#tellLed(false);
  }

  /** Something else that others follow has changed. */
  knowledgeChanged(): void {
    this.#server.tellFollowers();
  }

  /** What is remembered has changed: all are to hear it before it matters again. */
  memoriesChanged(): void {
    this.#server.tellFollowers();
    this.#reader.askAgain();
  }

  /** Asks another entry for permits. */
  askPermits(question: PermitQuestion): void {
    this.#permits.ask(question);
  }

  /** Settles with the next answer of an entry that is asked. */
  nextAnswer(): Promise<void> {
    return this.#asked.nextAnswer();
  }

  #takeTurn(): void {
    const turn = this.#turns.next(performance.now());
    if (turn.kind === "ask") this.#reader.ask(turn.address);
    if (turn.kind === "list") {
      if (this.#hasListed) this.#tellLed(false);
      this.#hasListed = true;
      this.#options.onListTurn();
    }
  }

  #readerAnswered(
    news: StoreNewsMessage,
    { address, askedAt }: {
      readonly address: string;
      readonly askedAt: number;
    },
  ): void {
    const { isReading, directory } = news;
    const { settingsAgeMs = Number.POSITIVE_INFINITY } = news;
    const oldestMs = this.#options.leavingLimitMs * OLDEST_SETTINGS_PART;
    const now = performance.now();
    // One that the store turns away knows what those told it who ask it.
    const isFit = isReading && settingsAgeMs <= oldestMs;
    const ageMs = isFit ? directory?.ageMs : undefined;
    this.#turns.noteAnswer(address, { askedAt, ageMs }, now);
    if (!this.#turns.isLed) return;
    this.#tellLed(true);
    this.#asked.stop();
  }

  #tellLed(isLed: boolean): void {
    if (isLed === this.#toldLed) return;
    this.#toldLed = isLed;
    const { log, onLed } = this.#options;
    log.write("STORE_READER_CHANGED", {
      isLed,
      candidates: this.#candidateCount,
    });
    onLed(isLed);
  }

  #known(): KnownNews {
    const { settings, directory, processes, drains } = this.#options
      .getKnowledge();
    return {
      settingsVersion: settings?.settings.version,
      directoryContent: directory?.content,
      processesRevision: processes.revision,
      drainsRevision: drains?.revision,
    };
  }

  #take(
    news: StoreNewsMessage,
    askedAt: number | undefined,
  ): void {
    const { settingsText, settingsAgeMs, directory, processes, drains } = news;
    const { onSettings, onSettingsChecked, onDirectory, onProcesses } =
      this.#options;
    this.#options.memories.take(news.memories, performance.now());
    if (drains !== undefined) {
      this.#options.onDrains(drains, settingsAgeMs ?? 0);
    }
    if (settingsText !== undefined) onSettings(settingsText);
    if (askedAt !== undefined && settingsAgeMs !== undefined) {
      onSettingsChecked(askedAt - settingsAgeMs);
    }
    const told = directory && this.#tryDirectoryOf(directory, askedAt);
    if (told !== undefined) onDirectory(told);
    if (processes !== undefined) onProcesses(processes);
    this.#server.tellFollowers();
  }

  /** A list on this process's clock: as old as it was there, since it was asked for. */
  #tryDirectoryOf(
    { revision, ageMs, content, instances }: DirectoryNews,
    askedAt: number | undefined,
  ): Directory | undefined {
    const known = this.#options.getKnowledge().directory;
    const isSame = known?.content === content;
    const told = instances ?? (isSame ? known?.instances : undefined);
    if (told === undefined) return undefined;
    return {
      instances: told,
      revision,
      content,
      // Of news that follows it is only known that it is newer than what was told before.
      askedAt: askedAt === undefined
        ? known?.askedAt ?? Number.NEGATIVE_INFINITY
        : askedAt - ageMs,
    };
  }
}
