/**
 * Simulates the list of targets that entries read while targets end, restart and become
 * cold.
 *
 * @module
 */
import type { InstancesListed } from "../entry/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { ColdPools } from "../policy/warm_up_limits.ts";
import { createInstance } from "./fixtures.ts";

/** A change of what the list reports about targets. */
export interface ListChange {
  /** Milliseconds since callers started. */
  readonly at: number;
  /** Numbers of the targets, from 0. */
  readonly targets: readonly number[];
  /**
   * `gone`: the targets are removed from the list. `started`: another incarnation is
   * listed. `told`: the same incarnation reports another coldness.
   */
  readonly kind: "gone" | "started" | "told";
  /** Undefined: the target does not report whether it is cold. */
  readonly isCold?: boolean;
}

/** How targets warm up, and which entries learn of changes late. */
export interface ColdPlan {
  readonly perSecond: number;
  readonly startMs: number;
  readonly changes: readonly ListChange[];
  /** Milliseconds by which some entries learn of changes late, by their number. */
  readonly delayMsByEntry?: ReadonlyMap<number, number>;
}

/** Options of {@link ColdTargets}. */
export interface ColdTargetsOptions {
  readonly count: number;
  /** Undefined: no target can be cold. */
  readonly plan: ColdPlan | undefined;
  /** When callers start, in milliseconds. */
  readonly startMs: number;
}

/** The targets as entries find them in the list. */
export class ColdTargets {
  readonly #options: ColdTargetsOptions;

  /** Lists all targets as warm, or without a coldness report if none can be cold. */
  constructor(options: ColdTargetsOptions) {
    this.#options = options;
  }

  /** The settings of pools with cold targets. */
  get coldPools(): ColdPools | undefined {
    const { plan } = this.#options;
    if (plan === undefined) return undefined;
    const { perSecond, startMs } = plan;
    return new Map([["confirm", { kind: "limited", perSecond, startMs }]]);
  }

  /** Returns the list as an entry reads it. */
  list(
    entry: number,
    now: number,
  ): InstancesListed {
    const { count, plan, startMs } = this.#options;
    const receivedAt = now - startMs - (plan?.delayMsByEntry?.get(entry) ?? 0);
    const instances = Array.from(
      { length: count },
      (_, target) => this.#getInstanceAt(target, receivedAt),
    ).flatMap((instance) => instance === undefined ? [] : [instance]);
    return { kind: "instances_listed", now, instances };
  }

  #getInstanceAt(target: number, at: number): BackEndInstance | undefined {
    const { plan } = this.#options;
    const changes = (plan?.changes ?? []).filter((change) =>
      change.at <= at && change.targets.includes(target)
    );
    const lastChange = changes.at(-1);
    if (lastChange?.kind === "gone") return undefined;
    const restarts = changes.filter(({ kind }) => kind === "started").length;
    const id = `target-${target}${restarts === 0 ? "" : `@${restarts}`}`;
    const isCold = lastChange === undefined ? plan && false : lastChange.isCold;
    return createInstance(id, { isCold });
  }
}
