/**
 * Targets as entries find them listed while they end, start again, and turn cold.
 *
 * @module
 */
import type { InstancesListed } from "../entry/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { ColdPools } from "../policy/warm_up_limits.ts";
import { createInstance } from "./fixtures.ts";

/** What the list says of targets from a moment on. */
export interface ListChange {
  /** Milliseconds since callers came. */
  readonly at: number;
  /** Numbers of the targets, from 0. */
  readonly targets: readonly number[];
  /**
   * They are gone, or another incarnation is listed that says whether it is cold or does
   * not say so, or the same one says something else.
   */
  readonly kind: "gone" | "started" | "told";
  /** Undefined: it does not say. */
  readonly isCold?: boolean;
}

/** How targets warm up, and who hears of it late. */
export interface ColdPlan {
  readonly perSecond: number;
  readonly startMs: number;
  readonly changes: readonly ListChange[];
  /** Milliseconds by which some entries hear late, by their number. */
  readonly lateMs?: ReadonlyMap<number, number>;
}

/** Options of {@link ColdTargets}. */
export interface ColdTargetsOptions {
  readonly count: number;
  /** Undefined: no target can be cold. */
  readonly plan: ColdPlan | undefined;
  /** When callers come, in milliseconds. */
  readonly startMs: number;
}

/** Targets as entries find them listed. */
export class ColdTargets {
  readonly #options: ColdTargetsOptions;

  /** All targets are listed as warm, or without a word where none can be cold. */
  constructor(options: ColdTargetsOptions) {
    this.#options = options;
  }

  /** What the settings say of cold targets. */
  get coldPools(): ColdPools | undefined {
    const { plan } = this.#options;
    if (plan === undefined) return undefined;
    const { perSecond, startMs } = plan;
    return new Map([["confirm", { kind: "limited", perSecond, startMs }]]);
  }

  /** The list that an entry hears. */
  list(
    entry: number,
    now: number,
  ): InstancesListed {
    const { count, plan, startMs } = this.#options;
    const heardAt = now - startMs - (plan?.lateMs?.get(entry) ?? 0);
    const instances = Array.from(
      { length: count },
      (_, target) => this.#instanceAt(target, heardAt),
    ).flatMap((instance) => instance === undefined ? [] : [instance]);
    return { kind: "instances_listed", now, instances };
  }

  #instanceAt(target: number, at: number): BackEndInstance | undefined {
    const { plan } = this.#options;
    const changes = (plan?.changes ?? []).filter((change) =>
      change.at <= at && change.targets.includes(target)
    );
    const last = changes.at(-1);
    if (last?.kind === "gone") return undefined;
    const starts = changes.filter(({ kind }) => kind === "started").length;
    const id = `target-${target}${starts === 0 ? "" : `@${starts}`}`;
    const isCold = last === undefined ? plan && false : last.isCold;
    return createInstance(id, { isCold });
  }
}
