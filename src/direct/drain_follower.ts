/**
 * Follows the failure domains that operators drain, from what a watch of the platform's
 * store brings and from what other entries tell.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { EventLog } from "../events/event_log.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import { splitRevision } from "../external/store_revision.ts";
import type {
  StoreChanged,
  StoreItem,
  StoreListing,
} from "../external/watched_store.ts";
import type { DrainSet } from "../messages/peer_types.ts";
import { areSame, DrainedDomains } from "./drained_domains.ts";

/** Drains that are in force at once, at most: news to other entries holds all of them. */
export const MOST_DRAINS = 256;
/** Unreadable drains that are remembered, so that each is logged once. */
const MOST_REMEMBERED = 256;
/** Characters of a key, and of a list of failure domains, that are logged. */
const LOGGED_LENGTH = 200;

/** Options of a {@link DrainFollower}. */
export interface DrainFollowerOptions {
  readonly format: StoreFormat;
  readonly log: EventLog;
  /** Called with all drained failure domains whenever those in force have changed. */
  readonly onDrains: (failureDomains: readonly string[]) => void;
}

/** Where a set was read, and how old it was then. */
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
  /** Drains that could not be read, by key and revision. */
  readonly #unreadable = new Set<string>();
  #inForce: readonly string[] = [];
  #timer: NodeJS.Timeout | undefined;

  /** Has heard nothing yet. */
  constructor(options: DrainFollowerOptions) {
    this.#options = options;
  }

  /** The set that the store holds, as last heard; undefined before any was. */
  get stored(): DrainSet | undefined {
    return this.#drains.stored;
  }

  /** Cancels the timer for the end of kept drains. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** All keys that operators write were read. */
  noteListed({ items, revision }: StoreListing): void {
    const known = new Set(this.stored?.failureDomains);
    const drained = new Set<string>();
    for (const item of items) this.#readItem(item, { known, drained });
    this.#take({ revision, failureDomains: [...drained] }, FROM_STORE);
  }

  /** Some keys that operators write have changed. */
  noteChanged({ written, removed, revision }: StoreChanged): void {
    const drained = new Set(this.stored?.failureDomains);
    const known = new Set(drained);
    let isConcerned = false;
    for (const item of written) {
      isConcerned = this.#readItem(item, { known, drained }) || isConcerned;
    }
    for (const key of removed) {
      const read = this.#options.format.readDrainKey(key);
      if (read.kind !== "drain") continue;
      isConcerned = true;
      drained.delete(read.failureDomain);
      this.#drains.endKept(read.failureDomain);
    }
    // A revision without a change of drains would be told to all other entries.
    if (!isConcerned) return;
    this.#take({ revision, failureDomains: [...drained] }, FROM_STORE);
  }

  /** Takes in what another entry heard from the store; `ageMs` in milliseconds. */
  offer(set: DrainSet, ageMs: number): void {
    this.#take(set, { source: "entry", ageMs });
  }

  /** Adds the drain that an item asks for; whether the item is about drains at all. */
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
    if (!isReadable) this.#noteUnreadable(item.key, item.revision);
    if (read.kind === "unreadable") return false;
    const { failureDomain } = read;
    if (isReadable || known.has(failureDomain)) drained.add(failureDomain);
    return isReadable;
  }

  #noteUnreadable(key: string, revision: number): void {
    const entry = `${key} ${revision}`;
    if (this.#unreadable.has(entry)) return;
    if (this.#unreadable.size >= MOST_REMEMBERED) this.#unreadable.clear();
    this.#unreadable.add(entry);
    this.#options.log.write("DRAIN_UNREADABLE", {
      key: key.slice(0, LOGGED_LENGTH),
      revision,
    });
  }

  #take(set: DrainSet, from: DrainSource): void {
    const count = set.failureDomains.length;
    if (count > MOST_DRAINS) {
      return this.#noteUnreadable(`${count} drains at once`, set.revision);
    }
    const taken = this.#drains.take(set, performance.now());
    if (taken === undefined) return;
    if (taken.kept.length > 0) {
      this.#options.log.write("DRAINS_KEPT", {
        kept: toText(taken.kept),
        era: splitRevision(set.revision).era,
        source: from.source,
      });
    }
    this.#update(from);
  }

  /** Tells what is in force if it has changed, and again when a kept drain ends. */
  #update(from: DrainSource): void {
    const now = performance.now();
    this.#planNextEnd(now);
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

  #planNextEnd(now: number): void {
    clearTimeout(this.#timer);
    const end = this.#drains.nextEnd;
    if (end === undefined || end <= now) return;
    // A millisecond more, as timers may fire a little early.
    this.#timer = setTimeout(() => this.#update(FROM_STORE), end - now + 1);
    this.#timer.unref();
  }
}

function toText(names: readonly string[]): string {
  return names.join(" ").slice(0, LOGGED_LENGTH);
}
