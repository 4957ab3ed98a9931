/**
 * Chooses the target of a request.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { TargetView } from "./target_view.ts";

/** The conditions of a choice. */
export interface ChoiceContext {
  readonly now: number;
  readonly failureDomain: string;
  /** Blocks of the prompt that each target is assumed to have in its cache. */
  readonly cachedBlocks?: ReadonlyMap<string, number>;
  readonly promptBlocks?: number;
}

/** A strategy that chooses among the targets that may serve a request. */
export abstract class TargetChoice {
  /** Returns one of the candidates; undefined only if there are none. */
  abstract tryChoose(
    candidates: readonly TargetView[],
    context: ChoiceContext,
  ): TargetView | undefined;
}

/** Chooses the targets in turn, regardless of their load. */
export class RoundRobinChoice extends TargetChoice {
  #next = 0;

  override tryChoose(
    candidates: readonly TargetView[],
  ): TargetView | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.#next++ % candidates.length];
  }
}

/** Chooses the target that last reported the least load. */
export class LeastReportedChoice extends TargetChoice {
  override tryChoose(
    candidates: readonly TargetView[],
  ): TargetView | undefined {
    return minimumBy(
      candidates,
      (view) => view.reportedLoad / view.concurrency,
    );
  }
}

/** Chooses the less loaded of two targets sampled at random. */
export class TwoRandomChoice extends TargetChoice {
  readonly #random: RandomSource;

  /** Uses `random` as the source of random numbers. */
  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override tryChoose(
    candidates: readonly TargetView[],
  ): TargetView | undefined {
    return minimumBy(
      sampleDistinct(candidates, { count: 2, random: this.#random }),
      estimateLoad,
    );
  }
}

/** Options of a {@link ScoredChoice}. All penalties and weights are in units of load. */
export interface ScoredChoiceOptions {
  /** Number of targets sampled for each request. */
  readonly sampleCount: number;
  /** Penalty of a target in another failure domain. */
  readonly domainPenalty: number;
  /**
   * Penalty of a target whose attempts all fail; it is proportional to the failure share.
   */
  readonly failurePenalty: number;
  /**
   * Penalty of a prompt without cached blocks; it is proportional to the missing share.
   */
  readonly prefixWeight: number;
  /** Penalty of a target to which a new connection is needed. */
  readonly connectPenalty: number;
  /** Milliseconds without a first byte after which a target counts as stuck. */
  readonly stuckAfterMs: number;
}

/** See docs/DESIGN.md for the trade-offs between these values. */
export const SCORED_CHOICE_DEFAULTS: ScoredChoiceOptions = {
  sampleCount: 2,
  domainPenalty: 0.25,
  failurePenalty: 4,
  prefixWeight: 1,
  connectPenalty: 0.4,
  stuckAfterMs: 300,
};

/**
 * Scores a few targets sampled at random, and the one with most of the prompt in its
 * cache. The score combines load, failures, slowness, silence, failure domain, missing
 * blocks and the cost of a new connection.
 */
export class ScoredChoice extends TargetChoice {
  readonly #random: RandomSource;
  readonly #options: ScoredChoiceOptions;

  /** Uses `random` as the source of random numbers. */
  constructor(
    random: RandomSource,
    options: ScoredChoiceOptions = SCORED_CHOICE_DEFAULTS,
  ) {
    super();
    this.#random = random;
    this.#options = options;
  }

  override tryChoose(
    candidates: readonly TargetView[],
    context: ChoiceContext,
  ): TargetView | undefined {
    const sampled = this.#sample(candidates);
    // Targets with an idle connection are rare in a large pool, so they are sampled
    // separately.
    const connected = this.#sample(
      candidates.filter((view) => view.idleConnectionUntil > context.now),
    );
    const mostCached = this.#tryFindMostCached(candidates, context);
    const scored = [...sampled, ...connected];
    if (mostCached !== undefined) scored.push(mostCached);
    return minimumBy(scored, (view) => this.#score(view, context));
  }

  #sample(candidates: readonly TargetView[]): readonly TargetView[] {
    return sampleDistinct(candidates, {
      count: this.#options.sampleCount,
      random: this.#random,
    });
  }

  #tryFindMostCached(
    candidates: readonly TargetView[],
    context: ChoiceContext,
  ): TargetView | undefined {
    const { cachedBlocks } = context;
    if (cachedBlocks === undefined || cachedBlocks.size === 0) return undefined;
    return minimumBy(
      candidates.filter((view) => cachedBlocks.has(view.name)),
      (view) => this.#score(view, context),
    );
  }

  #score(view: TargetView, context: ChoiceContext): number {
    const { domainPenalty, failurePenalty, connectPenalty } = this.#options;
    const isConnected = view.idleConnectionUntil > context.now;
    const isNear = view.failureDomain === context.failureDomain;
    return estimateLoad(view) * view.slowness +
      (isNear ? 0 : domainPenalty) +
      (isConnected ? 0 : connectPenalty) +
      failurePenalty * view.failureShare +
      this.#prefixCost(view, context) +
      this.#stuckCost(view, context.now);
  }

  #prefixCost(view: TargetView, context: ChoiceContext): number {
    const { promptBlocks, cachedBlocks } = context;
    if (promptBlocks === undefined || promptBlocks === 0) return 0;
    const cached = cachedBlocks?.get(view.name) ?? 0;
    const missing = Math.max(0, promptBlocks - cached) / promptBlocks;
    return this.#options.prefixWeight * missing;
  }

  #stuckCost(view: TargetView, now: number): number {
    if (view.waitingSince === undefined) return 0;
    const silentSince = Math.max(view.waitingSince, view.answeredAt);
    const silent = now - silentSince;
    return Math.max(0, silent / this.#options.stuckAfterMs - 1);
  }
}

/**
 * Returns the estimated requests per slot of the back end: the load that the target
 * reported without this entry's requests at that time, plus this entry's current
 * requests, which are known without delay.
 */
export function estimateLoad(view: TargetView): number {
  const others = Math.max(0, view.reportedLoad - view.ownInReport);
  return (others + view.ownInFlight) / view.concurrency;
}

interface SampleOptions {
  readonly count: number;
  readonly random: RandomSource;
}

function sampleDistinct(
  candidates: readonly TargetView[],
  options: SampleOptions,
): readonly TargetView[] {
  if (candidates.length <= options.count) return candidates;
  const sampled = new Set<TargetView>();
  while (sampled.size < options.count) {
    const index = options.random.nextBelow(candidates.length);
    sampled.add(candidates[index] as TargetView);
  }
  return [...sampled];
}

function minimumBy<T>(
  items: readonly T[],
  measure: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  for (const item of items) {
    const value = measure(item);
    if (value >= lowest) continue;
    best = item;
    lowest = value;
  }
  return best;
}
