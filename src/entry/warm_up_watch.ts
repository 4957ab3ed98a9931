/**
 * Tracks which targets are cold by settings and lists, and creates log records of
 * changes.
 *
 * @module
 */
import {
  type ColdnessChange,
  type ColdPools,
  WarmUpLimits,
} from "../policy/warm_up_limits.ts";
import type { InstancesListed, LogDecision, SettingsInForce } from "./types.ts";

/** Maximum number of targets that one log record names. */
const MAX_LOGGED_TARGETS = 16;
const NO_POOLS: ColdPools = new Map();

/** When a change was applied, and the list that it came from. */
interface ChangeContext {
  readonly now: number;
  /** When the list was requested, in milliseconds; undefined if there was no list. */
  readonly requestedAt?: number;
}

/** Tracks which targets are cold. */
export class WarmUpWatch {
  readonly limits = new WarmUpLimits();
  readonly #sentByPool = new Map<string, number>();

  /** Number of requests that were sent to cold targets, by pool. */
  get sentByPool(): ReadonlyMap<string, number> {
    return this.#sentByPool;
  }

  /** Applies settings that came into force. */
  applySettings(
    { coldPools = NO_POOLS, now }: Pick<SettingsInForce, "coldPools" | "now">,
  ): readonly LogDecision[] {
    const changes = this.limits.setPools(coldPools, now);
    return [
      ...this.#createUnreadableRecords(coldPools),
      ...this.#createChangeRecords(changes, { now }),
    ];
  }

  /** Applies a list of targets. */
  recordInstances(
    { instances, requestedAt, now }: InstancesListed,
  ): readonly LogDecision[] {
    const changes = this.limits.setListed(instances, now);
    return this.#createChangeRecords(changes, { now, requestedAt });
  }

  /** Returns log records of the targets whose warm-up time has ended by `now`. */
  advanceTo(now: number): readonly LogDecision[] {
    if (this.limits.isEmpty) return [];
    return this.#createChangeRecords(this.limits.advance(now), { now });
  }

  /** Counts a request that was sent to a target, if the target is cold. */
  recordSent(target: string, pool: string): void {
    if (this.limits.tryGet(target) === undefined) return;
    this.#sentByPool.set(pool, (this.#sentByPool.get(pool) ?? 0) + 1);
  }

  #createUnreadableRecords(coldPools: ColdPools): readonly LogDecision[] {
    return [...coldPools].flatMap(([pool, setting]): readonly LogDecision[] => {
      if (setting.kind !== "unreadable") return [];
      const inForce = this.limits.tryGetPool(pool)?.perSecond;
      const details = { pool, text: setting.text, perSecond: inForce };
      return [{ kind: "log_decision", name: "COLD_RATE_UNREADABLE", details }];
    });
  }

  /** Creates one log record for each pool. */
  #createChangeRecords(
    changes: readonly ColdnessChange[],
    context: ChangeContext,
  ): readonly LogDecision[] {
    const pools = new Set(changes.map(({ pool }) => pool));
    return [...pools].map((pool) => {
      const ofPool = changes.filter((change) => change.pool === pool);
      return this.#createRecord(pool, ofPool, context);
    });
  }

  #createRecord(
    pool: string,
    changes: readonly ColdnessChange[],
    { now, requestedAt }: ChangeContext,
  ): LogDecision {
    const cold = changes.filter(({ isCold }) => isCold);
    const warm = changes.filter(({ isCold }) => !isCold);
    return {
      kind: "log_decision",
      name: "COLD_TARGETS_CHANGED",
      details: {
        pool,
        perSecond: this.limits.tryGetPool(pool)?.perSecond,
        cold: this.limits.countCold(pool),
        added: describe(cold),
        removed: describe(warm),
        ageMs: requestedAt === undefined
          ? undefined
          : Math.round(now - requestedAt),
      },
    };
  }
}

/** Lists the changed targets, each with the source of its change, and counts the rest. */
function describe(changes: readonly ColdnessChange[]): string {
  const named = changes.slice(0, MAX_LOGGED_TARGETS)
    .map(({ target, source }) => `${target}:${source}`);
  const more = changes.length - named.length;
  return [...named, ...more > 0 ? [`and ${more} more`] : []].join(" ");
}
