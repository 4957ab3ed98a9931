/**
 * Limits requests to targets that warm up, and determines from the lists of targets which
 * ones are cold.
 *
 * A target is cold while its list entry says so. If the list entry says neither cold nor
 * warm, the target is cold for the time given by the settings from when it first appeared
 * in a list. Targets of the first list may have been running for long and count as warm.
 * Only pools whose settings give a rate for cold targets have cold targets.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";

/**
 * Minimum milliseconds for which a list's statement that a target is cold applies without
 * another list. Lists arrive once a second, and less often while the store is
 * unreachable.
 */
const MIN_LIST_VALIDITY_MS = 5000;
/** Milliseconds for which an incarnation that left the list is remembered. */
const RETENTION_MS = 60_000;
const NEVER = Number.NEGATIVE_INFINITY;

/** The settings of cold targets of a pool. */
export interface ColdPool {
  readonly kind: "limited";
  /** Requests a second that a cold target accepts from all entries. */
  readonly perSecond: number;
  /** Milliseconds for which a target is cold after its start. */
  readonly startMs: number;
}

/** Settings of cold targets of a pool that are not valid. */
export interface UnreadableColdPool {
  readonly kind: "unreadable";
  /** The text of the settings, shortened. */
  readonly text: string;
}

/** Settings of cold targets by pool; pools without them have no cold targets. */
export type ColdPools = ReadonlyMap<string, ColdPool | UnreadableColdPool>;

/** What a target's coldness is derived from. */
export type ColdnessSource = "list" | "first_seen";

/** A target that has become cold or warm. */
export interface ColdnessChange {
  readonly target: string;
  readonly pool: string;
  readonly isCold: boolean;
  /** What the target's coldness is or was derived from. */
  readonly source: ColdnessSource;
}

interface KnownTarget {
  readonly pool: string;
  readonly source: ColdnessSource;
  readonly coldUntil: number;
  /** Until when the target is remembered, in milliseconds. */
  readonly retainedUntil: number;
}

interface ColdTarget {
  readonly pool: string;
  readonly source: ColdnessSource;
  readonly perSecond: number;
}

/** Limits requests to targets that warm up. */
export class WarmUpLimits {
  #pools: ReadonlyMap<string, ColdPool> = new Map();
  #hasListed = false;
  #known: ReadonlyMap<string, KnownTarget> = new Map();
  #cold: ReadonlyMap<string, ColdTarget> = new Map();

  /** Whether no target is cold. */
  get isEmpty(): boolean {
    return this.#cold.size === 0;
  }

  /** Number of cold targets. */
  get coldCount(): number {
    return this.#cold.size;
  }

  /** Returns the settings of cold targets of a pool; undefined if there are none. */
  tryGetPool(pool: string): ColdPool | undefined {
    return this.#pools.get(pool);
  }

  /** Returns the number of cold targets of a pool. */
  countCold(pool: string): number {
    return [...this.#cold.values()].filter((cold) => cold.pool === pool).length;
  }

  /** Returns the requests a second that a target accepts; undefined if it is not cold. */
  tryGet(target: string): number | undefined {
    return this.#cold.get(target)?.perSecond;
  }

  /**
   * Applies new settings; returns the targets that have become cold or warm. A pool whose
   * settings are not valid keeps its previous ones.
   */
  setPools(pools: ColdPools, now: number): readonly ColdnessChange[] {
    const readable = new Map<string, ColdPool>();
    for (const [pool, settings] of pools) {
      const inForce = settings.kind === "limited"
        ? settings
        : this.#pools.get(pool);
      if (inForce !== undefined) readable.set(pool, inForce);
    }
    this.#pools = readable;
    return this.advance(now);
  }

  /**
   * Updates the listed targets; returns those that have become cold or warm.
   *
   * @example
   * ```ts
   * const changes = limits.setListed(instances, now);
   * ```
   */
  setListed(
    instances: readonly BackEndInstance[],
    now: number,
  ): readonly ColdnessChange[] {
    const remembered = [...this.#known].filter(([, known]) =>
      known.retainedUntil > now
    );
    const listed = instances.map((instance) =>
      [instance.id, this.#observe(instance, now)] as const
    );
    this.#hasListed = true;
    this.#known = new Map([...remembered, ...listed]);
    return this.advance(now);
  }

  /** Returns the targets that have become cold or warm since the last update. */
  advance(now: number): readonly ColdnessChange[] {
    const before = this.#cold;
    if (before.size === 0 && this.#pools.size === 0) return [];
    this.#cold = this.#findCold(now);
    return [
      ...listChanges(before, this.#cold, false),
      ...listChanges(this.#cold, before, true),
    ];
  }

  #findCold(now: number): ReadonlyMap<string, ColdTarget> {
    const cold = new Map<string, ColdTarget>();
    for (const [target, { pool, source, coldUntil }] of this.#known) {
      const perSecond = this.#pools.get(pool)?.perSecond;
      if (perSecond === undefined || coldUntil <= now) continue;
      cold.set(target, { pool, source, perSecond });
    }
    return cold;
  }

  #observe(instance: BackEndInstance, now: number): KnownTarget {
    const { id, pool, startedAt } = instance;
    // Without a start time another incarnation may return under the same id.
    const retainedUntil = startedAt === undefined ? NEVER : now + RETENTION_MS;
    return {
      pool,
      retainedUntil,
      ...this.#classify(instance, this.#known.get(id), now),
    };
  }

  #classify(
    { pool, isCold }: BackEndInstance,
    known: KnownTarget | undefined,
    now: number,
  ): Pick<KnownTarget, "source" | "coldUntil"> {
    const startMs = this.#pools.get(pool)?.startMs;
    if (startMs === undefined || isCold === false) {
      return { source: "list", coldUntil: NEVER };
    }
    if (isCold) {
      const coldUntil = now + Math.max(startMs, MIN_LIST_VALIDITY_MS);
      return { source: "list", coldUntil };
    }
    if (known !== undefined) return known;
    const coldUntil = this.#hasListed ? now + startMs : NEVER;
    return { source: "first_seen", coldUntil };
  }
}

/** Returns the changes for targets in `of` that are not in `other`. */
function listChanges(
  of: ReadonlyMap<string, ColdTarget>,
  other: ReadonlyMap<string, ColdTarget>,
  isCold: boolean,
): readonly ColdnessChange[] {
  return [...of].flatMap(([target, { pool, source }]) =>
    other.has(target) ? [] : [{ target, pool, isCold, source }]
  );
}
