/**
 * Follows the back ends that register themselves in the platform's store.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import { splitRevision } from "../external/store_revision.ts";
import type { StoreListing, WatchedStore } from "../external/watched_store.ts";
import { ListedBackEnds } from "./listed_back_ends.ts";
import { ListedColdness } from "./listed_coldness.ts";
import { Reachability } from "./reachability.ts";

/**
 * Milliseconds after an outage of the store for which a missing back end is still treated
 * as present. Registrations that expired during the outage are written again within two
 * seconds.
 */
const KEEP_MISSING_MS = 2500;

/**
 * Milliseconds after which an unchanged list is passed on again, so that back ends that
 * are no longer listed are closed once their requests have ended.
 */
const REPEAT_INTERVAL_MS = 1000;

/** Maximum number of characters of a key that are logged. */
const MAX_LOGGED_KEY_LENGTH = 80;

/** The known back ends. */
export interface Directory {
  readonly instances: readonly BackEndInstance[];
  /** Revision of the store; higher is newer. */
  readonly revision: number;
  /** Digest of the instances; equal for equal lists. */
  readonly content: string;
  /** When the list was requested, in milliseconds of the monotonic clock. */
  readonly askedAt: number;
}

/** Options of a {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly store: WatchedStore;
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Whether the settings name a pool. */
  readonly isKnownPool: (pool: string) => boolean;
  /**
   * Whether the settings set a rate limit for cold back ends of a pool. By default, no
   * pool has one.
   */
  readonly isColdPool?: (pool: string) => boolean;
  readonly onDirectory: (directory: Directory) => void;
  /** Called after each successful listing, with the list that is now known. */
  readonly onListed: (directory: Directory) => void;
  /** Called after each failed listing. */
  readonly onListFailed: () => void;
  /** Called when the store was restored from an older copy. */
  readonly onStoreRestored: () => void;
}

/** Follows the registered back ends. */
export class DirectoryFollower {
  readonly #options: DirectoryFollowerOptions;
  readonly #reachability: Reachability;
  readonly #backEnds: ListedBackEnds;
  #directory: Directory | undefined;
  #lostAt: number | undefined;
  #regainedAt = Number.NEGATIVE_INFINITY;
  #notifiedAt = Number.NEGATIVE_INFINITY;

  /** Makes no call yet. */
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
            key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
            text,
          }),
      }),
      onUnreadable: ({ key, revision }) =>
        log.write("BACK_END_UNREADABLE", {
          key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
          revision,
        }),
    });
  }

  /** The known back ends; undefined before any list was received. */
  get directory(): Directory | undefined {
    return this.#directory;
  }

  /** Whether the store answered the last listing. */
  get isReached(): boolean {
    return this.#reachability.isReached;
  }

  /**
   * Applies a list that another entry received, unless it is older than the known one.
   */
  offer(directory: Directory): void {
    this.#apply(directory, "entry");
  }

  /** Lists the back ends once. Reports a failed call to `onListFailed`. */
  async list(): Promise<void> {
    const { log, onListFailed } = this.#options;
    const askedAt = performance.now();
    const listing = await this.#tryList();
    // No caller waits for the outcome, so an exception would end the process.
    tryHandle(log, "listed back ends", () => {
      if (listing === undefined) onListFailed();
      else this.#read(listing, askedAt);
    });
  }

  #read({ items, revision }: StoreListing, askedAt: number): void {
    const instances = this.#backEnds.read(items, performance.now());
    const content = computeContentDigest(instances);
    const listed = { instances, revision, content, askedAt };
    this.#apply(listed, "store");
    this.#options.onListed(this.#directory ?? listed);
  }

  async #tryList(): Promise<StoreListing | undefined> {
    const { store, format } = this.#options;
    try {
      const listing = await store.list(format.backEndPrefix);
      this.#recordAnswer(performance.now());
      return listing;
    } catch (error) {
      this.#lostAt ??= performance.now();
      this.#reachability.recordFailure(performance.now(), error);
      return undefined;
    }
  }

  #recordAnswer(now: number): void {
    if (this.#lostAt !== undefined) this.#regainedAt = now;
    this.#lostAt = undefined;
    this.#reachability.recordAnswer(now);
  }

  #apply(directory: Directory, source: string): void {
    const before = this.#directory;
    // While this listing was in progress, a newer list may have arrived from another
    // entry.
    if (directory.revision < (before?.revision ?? 0)) return;
    if (before !== undefined) this.#detectNewEra(directory, before, source);
    const kept = this.#keepMissing(directory, before);
    const askedAt = Math.max(kept.askedAt, before?.askedAt ?? kept.askedAt);
    this.#directory = { ...kept, askedAt };
    this.#logChange(before, this.#directory, source);
    const now = performance.now();
    const isSame = before?.content === kept.content;
    if (isSame && now - this.#notifiedAt < REPEAT_INTERVAL_MS) return;
    this.#notifiedAt = now;
    this.#options.onDirectory(this.#directory);
  }

  /**
   * Detects that the store was restored from an older copy. Registrations missing from
   * the copy are usually written again soon, so missing back ends are kept for a while.
   */
  #detectNewEra(directory: Directory, before: Directory, source: string): void {
    const { era } = splitRevision(directory.revision);
    if (era <= splitRevision(before.revision).era) return;
    this.#regainedAt = performance.now();
    this.#options.log.write("STORE_WENT_BACK", { source, era });
    this.#options.onStoreRestored();
  }

  /**
   * Keeps missing back ends for a while after an outage or a restore of the store, since
   * their registrations are usually written again.
   */
  #keepMissing(directory: Directory, before: Directory | undefined): Directory {
    const isRecovering = performance.now() - this.#regainedAt < KEEP_MISSING_MS;
    if (!isRecovering || before === undefined) return directory;
    const instances = restoreMissing(directory.instances, before.instances);
    return {
      ...directory,
      instances,
      content: computeContentDigest(instances),
    };
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
 * Restores what an outage may have lost: back ends missing from the list, and the state
 * of back ends that were already leaving.
 */
function restoreMissing(
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

function computeContentDigest(instances: readonly BackEndInstance[]): string {
  const sorted = [...instances].sort((left, right) =>
    left.id < right.id ? -1 : 1
  );
  return createHash("sha256").update(JSON.stringify(sorted)).digest("base64");
}
