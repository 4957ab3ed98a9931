/**
 * Hears which targets warm up, from settings and lists, and says what changed for the log.
 *
 * @module
 */
import {
  type ColdnessChange,
  type ColdPools,
  WarmUpLimits,
} from "../policy/warm_up_limits.ts";
import type { InstancesListed, LogDecision, SettingsInForce } from "./types.ts";

/** Targets that one line names, at most. */
const MOST_NAMED = 16;
const NO_POOLS: ColdPools = new Map();

/** How a change was heard of. */
interface ChangeFacts {
  readonly now: number;
  /** When the list was asked for, in milliseconds; undefined: no list told it. */
  readonly askedAt?: number;
}

/** Hears which targets warm up. */
export class WarmUpWatch {
  readonly limits = new WarmUpLimits();
  readonly #sentByPool = new Map<string, number>();

  /** Requests that were sent to cold targets, by pool. */
  get sentByPool(): ReadonlyMap<string, number> {
    return this.#sentByPool;
  }

  /** Settings came in force. */
  noteSettings(
    { coldPools = NO_POOLS, now }: Pick<SettingsInForce, "coldPools" | "now">,
  ): readonly LogDecision[] {
    const changes = this.limits.setPools(coldPools, now);
    return [
      ...this.#noteUnreadable(coldPools),
      ...this.#noteChanges(changes, { now }),
    ];
  }

  /** Targets were listed. */
  noteListed(
    { instances, askedAt, now }: InstancesListed,
  ): readonly LogDecision[] {
    const changes = this.limits.setListed(instances, now);
    return this.#noteChanges(changes, { now, askedAt });
  }

  /** Time passed. */
  noteTime(now: number): readonly LogDecision[] {
    if (this.limits.isEmpty) return [];
    return this.#noteChanges(this.limits.advance(now), { now });
  }

  /** A target was sent a request. */
  noteSent(target: string, pool: string): void {
    if (this.limits.tryGet(target) === undefined) return;
    this.#sentByPool.set(pool, (this.#sentByPool.get(pool) ?? 0) + 1);
  }

  #noteUnreadable(coldPools: ColdPools): readonly LogDecision[] {
    return [...coldPools].flatMap(([pool, said]): readonly LogDecision[] => {
      if (said.kind !== "unreadable") return [];
      const inForce = this.limits.tryPool(pool)?.perSecond;
      const details = { pool, text: said.text, perSecond: inForce };
      return [{ kind: "log_decision", name: "COLD_RATE_UNREADABLE", details }];
    });
  }

  /** One line for each pool. */
  #noteChanges(
    changes: readonly ColdnessChange[],
    facts: ChangeFacts,
  ): readonly LogDecision[] {
    const pools = new Set(changes.map(({ pool }) => pool));
    return [...pools].map((pool) => {
      const ofPool = changes.filter((change) => change.pool === pool);
      return this.#createNote(pool, ofPool, facts);
    });
  }

  #createNote(
    pool: string,
    changes: readonly ColdnessChange[],
    { now, askedAt }: ChangeFacts,
  ): LogDecision {
    const cold = changes.filter(({ isCold }) => isCold);
    const warm = changes.filter(({ isCold }) => !isCold);
    return {
      kind: "log_decision",
      name: "COLD_TARGETS_CHANGED",
      details: {
        pool,
        perSecond: this.limits.tryPool(pool)?.perSecond,
        cold: this.limits.countOf(pool),
        added: describe(cold),
        removed: describe(warm),
        ageMs: askedAt === undefined ? undefined : Math.round(now - askedAt),
      },
    };
  }
}

/** Names with what each is or was held to be cold by, and how many more there are. */
function describe(changes: readonly ColdnessChange[]): string {
  const named = changes.slice(0, MOST_NAMED)
    .map(({ target, source }) => `${target}:${source}`);
  const more = changes.length - named.length;
  return [...named, ...more > 0 ? [`and ${more} more`] : []].join(" ");
}
