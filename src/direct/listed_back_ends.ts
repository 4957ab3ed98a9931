/**
 * Reads the registrations of back ends from a listing of the platform's store. Other
 * writers may use the same prefix: a registration that cannot be read is skipped without
 * affecting the others.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import type { StoreItem } from "../external/watched_store.ts";
import type { ListedColdness } from "./listed_coldness.ts";
import { markSuperseded } from "./superseded_instances.ts";

/**
 * Maximum number of unreadable registrations that are remembered so that each is reported
 * only once.
 */
const MAX_REMEMBERED_KEYS = 256;

/** Options of {@link ListedBackEnds}. */
export interface ListedBackEndsOptions {
  readonly format: StoreFormat;
  /** Called once for each registration that cannot be read. */
  readonly onUnreadable: (item: StoreItem) => void;
  readonly isKnownPool: (pool: string) => boolean;
  /** Reads whether back ends are cold. Without it, no back end is cold. */
  readonly coldness?: ListedColdness;
}

/** Reads the registrations of back ends. */
export class ListedBackEnds {
  readonly #options: ListedBackEndsOptions;
  /** Keys and revisions of registrations that could not be read. */
  readonly #unreadable = new Set<string>();
  /** The newest incarnation of each back end, by name. */
  #newest: ReadonlyMap<string, BackEndInstance> = new Map();

  /** Has read no registration yet. */
  constructor(options: ListedBackEndsOptions) {
    this.#options = options;
  }

  /**
   * Reads the back ends from items that were listed at time `now`, in milliseconds.
   *
   * @example
   * ```ts
   * const instances = backEnds.read(listing.items, performance.now());
   * ```
   */
  read(items: readonly StoreItem[], now: number): readonly BackEndInstance[] {
    this.#options.coldness?.retainListed(items);
    const listed = items.flatMap((item) => {
      const instance = this.#tryRead(item, now);
      const { createdRevision } = item;
      return instance === undefined ? [] : [{ instance, createdRevision }];
    });
    this.#newest = new Map(
      listed.map(({ instance }) => [instance.name, instance]),
    );
    return markSuperseded(listed, this.#options.isKnownPool);
  }

  #tryRead(item: StoreItem, now: number): BackEndInstance | undefined {
    const { format, coldness } = this.#options;
    const instance = format.tryReadBackEnd(item.key, item.value);
    if (instance === undefined) {
      this.#reportUnreadable(item);
      return undefined;
    }
    return this.#getNewest(coldness?.mark(instance, item, now) ?? instance);
  }

  /**
   * Returns the newest known incarnation of a back end. A late write of the previous
   * incarnation is ignored.
   */
  #getNewest(instance: BackEndInstance): BackEndInstance {
    const known = this.#newest.get(instance.name);
    const isOutdated = known?.startedAt !== undefined &&
      known.startedAt > (instance.startedAt ?? Number.NEGATIVE_INFINITY);
    return isOutdated ? known : instance;
  }

  #reportUnreadable(item: StoreItem): void {
    const keyAndRevision = `${item.key} ${item.revision}`;
    if (this.#unreadable.has(keyAndRevision)) return;
    if (this.#unreadable.size >= MAX_REMEMBERED_KEYS) this.#unreadable.clear();
    this.#unreadable.add(keyAndRevision);
    this.#options.onUnreadable(item);
  }
}
