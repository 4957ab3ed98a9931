/**
 * The limits of targets that warm up: which targets are cold now, by the last lists of them.
 *
 * A target is cold while its list entry says so. One whose entry does not say so or the
 * opposite is cold for the time that the settings give, from when it was first seen in a
 * list; those of the first list may have run for long and are not. Only pools whose settings
 * give a rate for cold targets have any.
 *
 * @module
 */
import type { BackEndInstance } from "../messages/back_end_instance.ts";

/**
 * Milliseconds for which a list's word that a target is cold holds without another list,
 * at least: lists are told once a second, and more seldom while the store is not reached.
 */
const TOLD_LASTS_MS = 5000;
/** Milliseconds for which an incarnation that left the list is remembered as seen. */
const REMEMBERED_MS = 60_000;
const NEVER = Number.NEGATIVE_INFINITY;

/** What the settings say of cold targets of a pool. */
export interface ColdPool {
  readonly kind: "limited";
  /** Requests a second that a cold target takes from all entries. */
  readonly perSecond: number;
  /** Milliseconds for which a target is cold after a start. */
  readonly startMs: number;
}

/** What the settings say of cold targets of a pool, where it cannot be read. */
export interface UnreadableColdPool {
  readonly kind: "unreadable";
  /** What they say, shortened. */
  readonly text: string;
}

/** What the settings say of cold targets, by pool; pools left out have none. */
export type ColdPools = ReadonlyMap<string, ColdPool | UnreadableColdPool>;

/** Why a target counts as cold. */
export type ColdnessSource = "list" | "first_seen";

/** A target that has become cold or warm. */
export interface ColdnessChange {
  readonly target: string;
  readonly pool: string;
  readonly isCold: boolean;
  /** What it was or is held to be cold by. */
  readonly source: ColdnessSource;
}

interface SeenTarget {
  readonly pool: string;
  readonly source: ColdnessSource;
  readonly coldUntil: number;
  /** Until when it is remembered, in milliseconds. */
  readonly seenUntil: number;
}

interface ColdTarget {
  readonly pool: string;
  readonly source: ColdnessSource;
  readonly perSecond: number;
}

/** The limits of targets that warm up. */
export class WarmUpLimits {
  #pools: ReadonlyMap<string, ColdPool> = new Map();
  #hasListed = false;
  #seen: ReadonlyMap<string, SeenTarget> = new Map();
  #cold: ReadonlyMap<string, ColdTarget> = new Map();

  /** Whether no target is cold now. */
  get isEmpty(): boolean {
    return this.#cold.size === 0;
  }

  /** Targets that are cold now. */
  get coldCount(): number {
    return this.#cold.size;
  }

  /** What the settings say of cold targets of a pool; undefined: it has none. */
  tryPool(pool: string): ColdPool | undefined {
    return this.#pools.get(pool);
  }

  /** Cold targets of a pool. */
  countOf(pool: string): number {
    return [...this.#cold.values()].filter((cold) => cold.pool === pool).length;
  }

  /** Requests a second that a target takes; undefined: it is not cold. */
  tryGet(target: string): number | undefined {
    return this.#cold.get(target)?.perSecond;
  }

  /** Settings came in force. What cannot be read leaves a pool as it was. */
  setPools(pools: ColdPools, now: number): readonly ColdnessChange[] {
    const readable = new Map<string, ColdPool>();
    for (const [pool, said] of pools) {
      const inForce = said.kind === "limited" ? said : this.#pools.get(pool);
      if (inForce !== undefined) readable.set(pool, inForce);
    }
    this.#pools = readable;
    return this.advance(now);
  }

  /**
   * Targets were listed; returns those that have become cold or warm.
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
    const remembered = [...this.#seen].filter(([, seen]) =>
      seen.seenUntil > now
    );
    const listed = instances.map((instance) =>
      [instance.id, this.#see(instance, now)] as const
    );
    this.#hasListed = true;
    this.#seen = new Map([...remembered, ...listed]);
    return this.advance(now);
  }

  /** Time passed; returns the targets that have become warm by it. */
  advance(now: number): readonly ColdnessChange[] {
    const before = this.#cold;
    if (before.size === 0 && this.#pools.size === 0) return [];
    this.#cold = this.#findCold(now);
    return [
      ...changesOf(before, this.#cold, false),
      ...changesOf(this.#cold, before, true),
    ];
  }

  #findCold(now: number): ReadonlyMap<string, ColdTarget> {
    const cold = new Map<string, ColdTarget>();
    for (const [target, { pool, source, coldUntil }] of this.#seen) {
      const perSecond = this.#pools.get(pool)?.perSecond;
      if (perSecond === undefined || coldUntil <= now) continue;
      cold.set(target, { pool, source, perSecond });
    }
    return cold;
  }

  #see(instance: BackEndInstance, now: number): SeenTarget {
    const { id, pool, startedAt } = instance;
    // Without a start time another incarnation may come back under the same id.
    const seenUntil = startedAt === undefined ? NEVER : now + REMEMBERED_MS;
    return {
      pool,
      seenUntil,
      ...this.#judge(instance, this.#seen.get(id), now),
    };
  }

  #judge(
    { pool, isCold }: BackEndInstance,
    known: SeenTarget | undefined,
    now: number,
  ): Pick<SeenTarget, "source" | "coldUntil"> {
    const startMs = this.#pools.get(pool)?.startMs;
    if (startMs === undefined || isCold === false) {
      return { source: "list", coldUntil: NEVER };
    }
    if (isCold) {
      const coldUntil = now + Math.max(startMs, TOLD_LASTS_MS);
      return { source: "list", coldUntil };
    }
    if (known !== undefined) return known;
    const coldUntil = this.#hasListed ? now + startMs : NEVER;
    return { source: "first_seen", coldUntil };
  }
}

/** Those of one that the other lacks. */
function changesOf(
  of: ReadonlyMap<string, ColdTarget>,
  other: ReadonlyMap<string, ColdTarget>,
  isCold: boolean,
): readonly ColdnessChange[] {
  return [...of].flatMap(([target, { pool, source }]) =>
    other.has(target) ? [] : [{ target, pool, isCold, source }]
  );
}
