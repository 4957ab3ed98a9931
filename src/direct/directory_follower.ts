/**
 * Follows the back ends that register themselves in the platform's store.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import type { BackEndInstance } from "../external/back_end_directory.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import type { StoreListing, WatchedStore } from "../external/watched_store.ts";
import { ListingTurns } from "./listing_turns.ts";
import { Reachability } from "./reachability.ts";
import { markSuperseded } from "./superseded_instances.ts";

/**
 * Milliseconds after an outage of the store for which a missing back end still
 * counts as there: entries that lapsed meanwhile are written anew within two
 * seconds.
 */
const SETTLE_MS = 2500;

/** The back ends, as last heard. */
export interface Directory {
  readonly instances: readonly BackEndInstance[];
  /** Revision of the store; higher is newer. */
  readonly revision: number;
  /** When it was asked for, in milliseconds of the monotonic clock. */
  readonly askedAt: number;
}

/** Options of a {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Milliseconds for which a back end that leaves may be sent work. */
  readonly leavingLimitMs: number;
  readonly onDirectory: (directory: Directory) => void;
  /** Called after each listing that was answered, with the list as it is kept. */
  readonly onListed: (directory: Directory) => void;
  /** Called after each listing that was not answered. */
  readonly onUnanswered: () => void;
}

/** Follows the back ends. */
export class DirectoryFollower {
  readonly #options: DirectoryFollowerOptions;
  readonly #reachability: Reachability;
  readonly #turns: ListingTurns;
  #directory: Directory | undefined;
  #lostAt: number | undefined;
  #regainedAt = Number.NEGATIVE_INFINITY;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /** Follows nothing yet. */
  constructor(options: DirectoryFollowerOptions) {
    this.#options = options;
    this.#reachability = new Reachability("back ends", options.log);
    this.#turns = new ListingTurns(options.leavingLimitMs);
  }

  /** The back ends, as last heard. */
  get directory(): Directory | undefined {
    return this.#directory;
  }

  /** Whether the last listing was answered by the store. */
  get isReached(): boolean {
    return this.#reachability.isReached;
  }

  /** Follows from now on. */
  start(): void {
    void this.#listAndWait();
  }

  /** Follows no more. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Lists now, for a process that stood still. */
  async refresh(): Promise<void> {
    await this.#listOnce();
  }

  /** Takes in what another entry heard, if it is newer. */
  offer(directory: Directory): void {
    const known = this.#directory?.revision ?? -1;
    if (directory.revision > known) this.#take(directory, "entry");
  }

  /** Takes in what the reader of the failure domain heard just now. */
  offerByReader(directory: Directory): void {
    this.#turns.heard(directory, this.#directory?.revision);
    this.offer(directory);
  }

  async #listAndWait(): Promise<void> {
    const startedAt = performance.now();
    await this.#listOnce();
    const spent = performance.now() - startedAt;
    this.#waitFor(Math.max(0, this.#turns.intervalMs - spent));
  }

  #waitFor(pauseMs: number): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => this.#takeTurn(), pauseMs);
  }

  #takeTurn(): void {
    const turn = this.#turns.next(performance.now());
    if (turn.kind === "list") return void this.#listAndWait();
    this.#waitFor(turn.forMs);
  }

  async #listOnce(): Promise<void> {
    const { format, onListed, onUnanswered } = this.#options;
    const askedAt = performance.now();
    const listing = await this.#tryList();
    if (listing === undefined) return onUnanswered();
    const instances = markSuperseded(listing.items.flatMap((item) => {
      const instance = format.tryReadBackEnd(item.key, item.value);
      const { createdRevision } = item;
      return instance === undefined ? [] : [{ instance, createdRevision }];
    }));
    const listed = { instances, revision: listing.revision, askedAt };
    this.#take(listed, "store");
    onListed(this.#directory ?? listed);
  }

  async #tryList(): Promise<StoreListing | undefined> {
    const { store, format } = this.#options;
    try {
      const listing = await store.list(format.backEndPrefix);
      this.#noteAnswer(performance.now());
      return listing;
    } catch (error) {
      this.#lostAt ??= performance.now();
      this.#reachability.noteFailure(performance.now(), error);
      return undefined;
    }
  }

  #noteAnswer(now: number): void {
    if (this.#lostAt !== undefined) this.#regainedAt = now;
    this.#lostAt = undefined;
    this.#reachability.noteAnswer(now);
  }

  #take(directory: Directory, source: string): void {
    const before = this.#directory;
    // Another entry's list may have been newer than an answer that took long.
    if (directory.revision < (before?.revision ?? 0)) return;
    const isSettling = performance.now() - this.#regainedAt < SETTLE_MS;
    const instances = isSettling
      ? withMissing(directory.instances, before?.instances ?? [])
      : directory.instances;
    this.#directory = { ...directory, instances };
    this.#logChange(before, this.#directory, source);
    this.#options.onDirectory(this.#directory);
  }

  #logChange(
    before: Directory | undefined,
    now: Directory,
    source: string,
  ): void {
    const serving = servingIdsOf(now);
    const served = servingIdsOf(before);
    const added = serving.filter((id) => !served.includes(id));
    const removed = served.filter((id) => !serving.includes(id));
    if (added.length === 0 && removed.length === 0) return;
    this.#options.log.write("DIRECTORY_CHANGED", {
      source,
      revision: now.revision,
      serving: serving.length,
      added: added.join(" "),
      removed: removed.join(" "),
      ageMs: Math.round(performance.now() - now.askedAt),
    });
  }
}

function servingIdsOf(directory: Directory | undefined): readonly string[] {
  return (directory?.instances ?? [])
    .filter((instance) => instance.state === "serving")
    .map((instance) => instance.id);
}

/** Keeps back ends that an outage may have dropped from the list. */
function withMissing(
  listed: readonly BackEndInstance[],
  known: readonly BackEndInstance[],
): readonly BackEndInstance[] {
  const ids = new Set(listed.map(({ id }) => id));
  return [...listed, ...known.filter(({ id }) => !ids.has(id))];
}
