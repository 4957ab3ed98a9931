/**
 * Reads the entries of back ends from a listing of the platform's store. Others may write
 * there, too: an entry that cannot be read names no back end, and the others hold.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import type { StoreItem } from "../external/watched_store.ts";
import type { ListedColdness } from "./listed_coldness.ts";
import { markSuperseded } from "./superseded_instances.ts";

/** Unreadable entries that are remembered, so that each is told once. */
const MOST_REMEMBERED = 256;

/** Options of {@link ListedBackEnds}. */
export interface ListedBackEndsOptions {
  readonly format: StoreFormat;
  /** Called once for each entry that cannot be read. */
  readonly onUnreadable: (item: StoreItem) => void;
  readonly isKnownPool: (pool: string) => boolean;
  /** Reads whether back ends warm up; none does unless given. */
  readonly coldness?: ListedColdness;
}

/** Reads the entries of back ends. */
export class ListedBackEnds {
  readonly #options: ListedBackEndsOptions;
  /** Entries that could not be read, by key and revision. */
  readonly #unreadable = new Set<string>();
  /** The last start of each back end that said when it started. */
  #newest: ReadonlyMap<string, BackEndInstance> = new Map();

  /** Has read nothing yet. */
  constructor(options: ListedBackEndsOptions) {
    this.#options = options;
  }

  /**
   * The back ends that the items name, listed at a time in milliseconds.
   *
   * @example
   * ```ts
   * const instances = backEnds.read(listing.items, performance.now());
   * ```
   */
  read(items: readonly StoreItem[], now: number): readonly BackEndInstance[] {
    this.#options.coldness?.keep(items);
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
      this.#noteUnreadable(item);
      return undefined;
    }
    return this.#newestOf(coldness?.mark(instance, item, now) ?? instance);
  }

  /** A last word of the start before may arrive late. */
  #newestOf(instance: BackEndInstance): BackEndInstance {
    const known = this.#newest.get(instance.name);
    const isOutdated = known?.startedAt !== undefined &&
      known.startedAt > (instance.startedAt ?? Number.NEGATIVE_INFINITY);
    return isOutdated ? known : instance;
  }

  #noteUnreadable(item: StoreItem): void {
    const entry = `${item.key} ${item.revision}`;
    if (this.#unreadable.has(entry)) return;
    if (this.#unreadable.size >= MOST_REMEMBERED) this.#unreadable.clear();
    this.#unreadable.add(entry);
    this.#options.onUnreadable(item);
  }
}
