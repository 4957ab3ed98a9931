/**
 * Tracks which registrations say that their back ends are cold. A registration contains
 * the remaining time, but it may be listed repeatedly without being rewritten, so the
 * time is counted from when that revision of the registration was first read.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { StoreFormat } from "../external/operator_settings.ts";
import type { StoreItem } from "../external/watched_store.ts";

/** A statement of coldness in a registration that cannot be read. */
export interface UnreadableColdness {
  readonly key: string;
  readonly text: string;
}

/** Options of a {@link ListedColdness}. */
export interface ListedColdnessOptions {
  readonly format: StoreFormat;
  /** Whether the settings set a rate limit for cold back ends of a pool. */
  readonly isColdPool: (pool: string) => boolean;
  /** Called once for each key, until its registration can be read again. */
  readonly onUnreadable: (unreadable: UnreadableColdness) => void;
}

interface KnownRegistration {
  readonly revision: number;
  /** Milliseconds; undefined when the registration contains no readable coldness. */
  readonly coldUntil: number | undefined;
  readonly isUnreadable: boolean;
}

/** Tracks which registrations say that their back ends are cold. */
export class ListedColdness {
  readonly #options: ListedColdnessOptions;
  readonly #known = new Map<string, KnownRegistration>();

  /** Has read no registration yet. */
  constructor(options: ListedColdnessOptions) {
    this.#options = options;
  }

  /**
   * Returns the back end of a registration, marked as cold or not if the registration
   * says so. A back end whose pool has no cold limit is returned unchanged, so that its
   * list does not differ.
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
    const registration = known?.revision === item.revision
      ? known
      : this.#read(item, known, now);
    this.#known.set(item.key, registration);
    if (registration.coldUntil === undefined) return instance;
    return { ...instance, isCold: registration.coldUntil > now };
  }

  /** Forgets registrations that are no longer listed. */
  retainListed(items: readonly StoreItem[]): void {
    if (this.#known.size === 0) return;
    const keys = new Set(items.map(({ key }) => key));
    for (const key of [...this.#known.keys()]) {
      if (!keys.has(key)) this.#known.delete(key);
    }
  }

  #read(
    { key, value, revision }: StoreItem,
    known: KnownRegistration | undefined,
    now: number,
  ): KnownRegistration {
    const coldness = this.#options.format.readColdness(value);
    if (coldness.kind === "unreadable" && known?.isUnreadable !== true) {
      this.#options.onUnreadable({ key, text: coldness.text });
    }
    const coldUntil = coldness.kind === "told"
      ? now + coldness.leftMs
      : undefined;
    return {
      revision,
      coldUntil,
      isUnreadable: coldness.kind === "unreadable",
    };
  }
}
