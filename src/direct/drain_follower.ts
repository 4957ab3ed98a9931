/**
 * Follows the failure domains that operators drain, based on a watch of the platform's
 * store and on updates from other entries.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import { tryHandle } from "../events/internal_faults.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import { splitRevision } from "../external/store_revision.ts";
import type {
  StoreChanged,
  StoreItem,
  StoreListing,
} from "../external/watched_store.ts";
import type { DrainSet } from "../messages/peer_types.ts";
import { areSame, DrainedDomains } from "./drained_domains.ts";

/**
 * Maximum number of drains in force at once. An update to another entry contains all of
 * them.
 */
export const MAX_DRAINS = 256;
/**
 * Maximum number of unreadable drains that are remembered so that each is logged only
 * once.
 */
const MAX_REMEMBERED_KEYS = 256;
/** Maximum number of logged characters of a key or of a list of failure domains. */
const MAX_LOGGED_LENGTH = 200;

/** Options of a {@link DrainFollower}. */
export interface DrainFollowerOptions {
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Called with all drained failure domains whenever the drains in force change. */
  readonly onDrains: (failureDomains: readonly string[]) => void;
}

/** Where a set was read from, and its age at that time. */
interface DrainSource {
  readonly source: "store" | "entry";
  /** Milliseconds. */
  readonly ageMs: number;
}

const FROM_STORE: DrainSource = { source: "store", ageMs: 0 };

/** Follows the drained failure domains. */
export class DrainFollower {
  readonly #options: DrainFollowerOptions;
  readonly #drains = new DrainedDomains();
  /** Keys and revisions of drains that could not be read. */
  readonly #unreadable = new Set<string>();
  #inForce: readonly string[] = [];
  #timer: NodeJS.Timeout | undefined;

  /** Starts without drains. */
  constructor(options: DrainFollowerOptions) {
    this.#options = options;
  }

  /** The last known set in the store; undefined before one was received. */
  get stored(): DrainSet | undefined {
    return this.#drains.stored;
  }

  /** Cancels the timer that ends kept drains. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Applies a listing of all keys that operators write. */
  onListed({ items, revision }: StoreListing): void {
    const known = new Set(this.stored?.failureDomains);
    const drained = new Set<string>();
    for (const item of items) this.#readItem(item, { known, drained });
    this.#apply({ revision, failureDomains: [...drained] }, FROM_STORE);
  }

  /** Applies changes of keys that operators write. */
  onChanged({ written, removed, revision }: StoreChanged): void {
    const drained = new Set(this.stored?.failureDomains);
    const known = new Set(drained);
    let hasDrainChange = false;
    for (const item of written) {
      hasDrainChange = this.#readItem(item, { known, drained }) ||
        hasDrainChange;
    }
    for (const key of removed) {
      const read = this.#options.format.readDrainKey(key);
      if (read.kind !== "drain") continue;
      hasDrainChange = true;
      drained.delete(read.failureDomain);
      this.#drains.dropKept(read.failureDomain);
    }
    // Without this check, a revision that changes no drain would be sent to all other
    // entries.
    if (!hasDrainChange) return;
    this.#apply({ revision, failureDomains: [...drained] }, FROM_STORE);
  }

  /**
   * Applies a set that another entry received from the store `ageMs` milliseconds ago.
   */
  offer(set: DrainSet, ageMs: number): void {
    this.#apply(set, { source: "entry", ageMs });
  }

  /**
   * Adds the drain that an item requests, and keeps a known drain whose value has become
   * unreadable. Returns whether the item is a readable drain.
   */
  #readItem(
    item: StoreItem,
    { known, drained }: {
      readonly known: ReadonlySet<string>;
      readonly drained: Set<string>;
    },
  ): boolean {
    const { format } = this.#options;
    const read = format.readDrainKey(item.key);
    if (read.kind === "other") return false;
    const isReadable = read.kind === "drain" && format.isDrainValue(item.value);
    if (!isReadable) this.#logUnreadable(item.key, item.revision);
    if (read.kind === "unreadable") return false;
    const { failureDomain } = read;
    if (isReadable || known.has(failureDomain)) drained.add(failureDomain);
    return isReadable;
  }

  #logUnreadable(key: string, revision: number): void {
    const keyAndRevision = `${key} ${revision}`;
    if (this.#unreadable.has(keyAndRevision)) return;
    if (this.#unreadable.size >= MAX_REMEMBERED_KEYS) this.#unreadable.clear();
    this.#unreadable.add(keyAndRevision);
    this.#options.log.write("DRAIN_UNREADABLE", {
      key: key.slice(0, MAX_LOGGED_LENGTH),
      revision,
    });
  }

  #apply(set: DrainSet, from: DrainSource): void {
    const count = set.failureDomains.length;
    if (count > MAX_DRAINS) {
      return this.#logUnreadable(`${count} drains at once`, set.revision);
    }
    const applied = this.#drains.apply(set, performance.now());
    if (applied === undefined) return;
    if (applied.kept.length > 0) {
      this.#options.log.write("DRAINS_KEPT", {
        kept: toText(applied.kept),
        era: splitRevision(set.revision).era,
        source: from.source,
      });
    }
    this.#update(from);
  }

  /**
   * Reports the drains in force if they changed, now and again when a kept drain expires.
   */
  #update(from: DrainSource): void {
    const now = performance.now();
    this.#scheduleNextExpiry(now);
    const before = this.#inForce;
    const inForce = this.#drains.listInForce(now);
    if (areSame(before, inForce)) return;
    this.#inForce = inForce;
    this.#options.log.write("DRAINS_CHANGED", {
      drained: toText(inForce),
      begun: toText(inForce.filter((name) => !before.includes(name))),
      ended: toText(before.filter((name) => !inForce.includes(name))),
      revision: this.stored?.revision,
      source: from.source,
      ageMs: Math.round(from.ageMs),
    });
    this.#options.onDrains(inForce);
  }

  #scheduleNextExpiry(now: number): void {
    clearTimeout(this.#timer);
    const end = this.#drains.nextExpiry;
    if (end === undefined || end <= now) return;
    // One more millisecond, because timers may fire slightly early.
    this.#timer = setTimeout(
      () =>
        tryHandle(this.#options.log, "drains", () => this.#update(FROM_STORE)),
      end - now + 1,
    );
    this.#timer.unref();
  }
}

function toText(names: readonly string[]): string {
  return names.join(" ").slice(0, MAX_LOGGED_LENGTH);
}
