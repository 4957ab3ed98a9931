/**
 * Follows the back ends that register themselves in the platform's store.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import { splitRevision } from "../external/store_revision.ts";
import type { StoreListing, WatchedStore } from "../external/watched_store.ts";
import { ListedBackEnds } from "./listed_back_ends.ts";
import { ListedColdness } from "./listed_coldness.ts";
import { Reachability } from "./reachability.ts";

/**
 * Milliseconds after an outage of the store for which a missing back end still
 * counts as there: entries that lapsed meanwhile are written anew within two
 * seconds.
 */
const SETTLE_MS = 2500;

/**
 * Milliseconds after which a list that says the same is told once more: what left it is
 * closed once its requests have ended.
 */
const RETELL_MS = 1000;

/** Characters of a key that are logged. */
const LOGGED_KEY_LENGTH = 80;

/** The back ends, as last heard. */
export interface Directory {
  readonly instances: readonly BackEndInstance[];
  /** Revision of the store; higher is newer. */
  readonly revision: number;
  /** What the list says, in short: the same for the same back ends. */
  readonly content: string;
  /** When it was asked for, in milliseconds of the monotonic clock. */
  readonly askedAt: number;
}

/** Options of a {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Whether any settings name a pool. */
  readonly isKnownPool: (pool: string) => boolean;
  /** Whether the settings give a rate for cold back ends of a pool; no pool unless given. */
  readonly isColdPool?: (pool: string) => boolean;
  readonly onDirectory: (directory: Directory) => void;
  /** Called after each listing that was answered, with the list as it is kept. */
  readonly onListed: (directory: Directory) => void;
  /** Called after each listing that was not answered. */
  readonly onUnanswered: () => void;
  /** Called when the store has come back from an older copy. */
  readonly onWentBack: () => void;
}

/** Follows the back ends. */
export class DirectoryFollower {
  readonly #options: DirectoryFollowerOptions;
  readonly #reachability: Reachability;
  readonly #backEnds: ListedBackEnds;
  #directory: Directory | undefined;
  #lostAt: number | undefined;
  #regainedAt = Number.NEGATIVE_INFINITY;
  #toldAt = Number.NEGATIVE_INFINITY;

  /** Follows nothing yet. */
  constructor(options: DirectoryFollowerOptions) {
    this.#options = options;
    const { format, log, isKnownPool, isColdPool = () => false } = options;
    this.#reachability = new Reachability("back ends", log);
    this.#backEnds = new ListedBackEnds({
      format,
      isKnownPool,
      coldness: new ListedColdness({
        format,
        isColdPool,
        onUnreadable: ({ key, text }) =>
          log.write("COLDNESS_UNREADABLE", {
            key: key.slice(0, LOGGED_KEY_LENGTH),
            text,
          }),
      }),
      onUnreadable: ({ key, revision }) =>
        log.write("BACK_END_UNREADABLE", {
          key: key.slice(0, LOGGED_KEY_LENGTH),
          revision,
        }),
    });
  }

  /** The back ends, as last heard. */
  get directory(): Directory | undefined {
    return this.#directory;
  }

  /** Whether the last listing was answered by the store. */
  get isReached(): boolean {
    return this.#reachability.isReached;
  }

  /** Takes in what another entry heard, unless it is older. */
  offer(directory: Directory): void {
    this.#take(directory, "entry");
  }

  /** Lists the back ends once; a call that is not answered is told. */
  async list(): Promise<void> {
    const { onListed, onUnanswered } = this.#options;
    const askedAt = performance.now();
    const listing = await this.#tryList();
    if (listing === undefined) return onUnanswered();
    const instances = this.#backEnds.read(listing.items, performance.now());
    const { revision } = listing;
    const content = contentOf(instances);
    const listed = { instances, revision, content, askedAt };
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
    if (before !== undefined) this.#noteEra(directory, before, source);
    const kept = this.#keepMissing(directory, before);
    const askedAt = Math.max(kept.askedAt, before?.askedAt ?? kept.askedAt);
    this.#directory = { ...kept, askedAt };
    this.#logChange(before, this.#directory, source);
    const now = performance.now();
    const isSame = before?.content === kept.content;
    if (isSame && now - this.#toldAt < RETELL_MS) return;
    this.#toldAt = now;
    this.#options.onDirectory(this.#directory);
  }

  /** A store that came back from an older copy lacks what is soon written again. */
  #noteEra(directory: Directory, before: Directory, source: string): void {
    const { era } = splitRevision(directory.revision);
    if (era <= splitRevision(before.revision).era) return;
    this.#regainedAt = performance.now();
    this.#options.log.write("STORE_WENT_BACK", { source, era });
    this.#options.onWentBack();
  }

  /** Entries that lapsed while the store was away may be back soon. */
  #keepMissing(directory: Directory, before: Directory | undefined): Directory {
    const isSettling = performance.now() - this.#regainedAt < SETTLE_MS;
    if (!isSettling || before === undefined) return directory;
    const instances = withMissing(directory.instances, before.instances);
    return { ...directory, instances, content: contentOf(instances) };
  }

  #logChange(
    before: Directory | undefined,
    now: Directory,
    source: string,
  ): void {
    if (before?.content === now.content) return;
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

/**
 * Keeps what an outage may have dropped: back ends from the list, and the word of some that
 * they leave.
 */
function withMissing(
  listed: readonly BackEndInstance[],
  known: readonly BackEndInstance[],
): readonly BackEndInstance[] {
  const ids = new Set(listed.map(({ id }) => id));
  const leaving = new Set(
    known.filter(({ state }) => state === "leaving").map(({ id }) => id),
  );
  const kept = listed.map((instance): BackEndInstance =>
    leaving.has(instance.id) ? { ...instance, state: "leaving" } : instance
  );
  return [...kept, ...known.filter(({ id }) => !ids.has(id))];
}

function contentOf(instances: readonly BackEndInstance[]): string {
  const sorted = [...instances].sort((left, right) =>
    left.id < right.id ? -1 : 1
  );
  return createHash("sha256").update(JSON.stringify(sorted)).digest("base64");
}
