/**
 * Whether list entries say that their back ends warm up. An entry says for how long, and may
 * be listed again and again without being written anew: the time runs from when that
 * revision of the entry was first read.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import type { StoreItem } from "../external/watched_store.ts";

/** What an entry says of coldness that cannot be read. */
export interface UnreadableColdness {
  readonly key: string;
  readonly text: string;
}

/** Options of a {@link ListedColdness}. */
export interface ListedColdnessOptions {
  readonly format: StoreFormat;
  /** Whether the settings give a rate for cold back ends of a pool. */
  readonly isColdPool: (pool: string) => boolean;
  /** Called once for each key, until its entry can be read again. */
  readonly onUnreadable: (unreadable: UnreadableColdness) => void;
}

interface KnownEntry {
  readonly revision: number;
  /** Milliseconds; undefined: it does not say, or cannot be read. */
  readonly coldUntil: number | undefined;
  readonly isUnreadable: boolean;
}

/** Whether list entries say that their back ends warm up. */
export class ListedColdness {
  readonly #options: ListedColdnessOptions;
  readonly #known = new Map<string, KnownEntry>();

  /** Has read nothing yet. */
  constructor(options: ListedColdnessOptions) {
    this.#options = options;
  }

  /**
   * The back end of an entry, with what the entry says of coldness. Nothing is read where
   * the pool's back ends are never cold, so that lists there differ in nothing.
   *
   * @example
   * ```ts
   * const instance = coldness.mark(format.tryReadBackEnd(key, value), item, now);
   * ```
   */
  mark(
    instance: BackEndInstance,
    item: StoreItem,
    now: number,
  ): BackEndInstance {
    if (!this.#options.isColdPool(instance.pool)) return instance;
    const known = this.#known.get(item.key);
    const entry = known?.revision === item.revision
      ? known
      : this.#read(item, known, now);
    this.#known.set(item.key, entry);
    if (entry.coldUntil === undefined) return instance;
    return { ...instance, isCold: entry.coldUntil > now };
  }

  /** Forgets entries that are listed no more. */
  keep(items: readonly StoreItem[]): void {
    if (this.#known.size === 0) return;
    const keys = new Set(items.map(({ key }) => key));
    for (const key of [...this.#known.keys()]) {
      if (!keys.has(key)) this.#known.delete(key);
    }
  }

  #read(
    { key, value, revision }: StoreItem,
    known: KnownEntry | undefined,
    now: number,
  ): KnownEntry {
    const word = this.#options.format.readColdness(value);
    if (word.kind === "unreadable" && known?.isUnreadable !== true) {
      this.#options.onUnreadable({ key, text: word.text });
    }
    const coldUntil = word.kind === "told" ? now + word.leftMs : undefined;
    return { revision, coldUntil, isUnreadable: word.kind === "unreadable" };
  }
}
