/**
 * Chooses the target of a request.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { TargetView } from "./target_view.ts";

/** What a choice is made for. */
export interface ChoiceContext {
  readonly now: number;
  readonly failureDomain: string;
  /** Blocks of the prompt that each target is thought to have in its cache. */
  readonly cachedBlocks?: ReadonlyMap<string, number>;
  readonly promptBlocks?: number;
}

/** A way to choose among the targets that may serve a request. */
export abstract class TargetChoice {
  /** One of the candidates; undefined only if there is none. */
  abstract tryChoose(
    candidates: readonly TargetView[],
    context: ChoiceContext,
  ): TargetView | undefined;
}

/** Takes the targets in turn, whatever their load. */
export class RoundRobinChoice extends TargetChoice {
  #next = 0;

  override tryChoose(
    candidates: readonly TargetView[],
  ): TargetView | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.#next++ % candidates.length];
  }
}

/** Takes the target that last reported the least load. */
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

/** Takes the better of two targets drawn at random. */
export class TwoRandomChoice extends TargetChoice {
  readonly #random: RandomSource;

  /** Draws from `random`. */
  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override tryChoose(
    candidates: readonly TargetView[],
  ): TargetView | undefined {
    return minimumBy(
      drawDistinct(candidates, { count: 2, random: this.#random }),
      estimateLoad,
    );
  }
}

/** Knobs of the {@link ScoredChoice}. */
export interface ScoredChoiceOptions {
  /** Targets that are scored for each request. */
  readonly drawn: number;
  /** Load that a target of another failure domain is thought to have more. */
  readonly domainPenalty: number;
  /** Load that a share of failures of 1 counts for. */
  readonly failurePenalty: number;
  /** Load that a prompt counts for whose blocks are all to be computed. */
  readonly prefixWeight: number;
  /** Load that a new connection counts for. */
  readonly connectPenalty: number;
  /** Milliseconds without a first byte after which a target looks stuck. */
  readonly stuckAfterMs: number;
}

/** docs/DESIGN.md shows what they trade against each other. */
export const SCORED_CHOICE_DEFAULTS: ScoredChoiceOptions = {
  drawn: 2,
  domainPenalty: 0.25,
  failurePenalty: 4,
  prefixWeight: 1,
  connectPenalty: 0.4,
  stuckAfterMs: 300,
};

/**
 * Scores a few targets drawn at random, and the one with most of the prompt in
 * its cache: load, failures, slowness, silence, distance, blocks to compute and whether
 * a connection has to be made.
 */
export class ScoredChoice extends TargetChoice {
  readonly #random: RandomSource;
  readonly #options: ScoredChoiceOptions;

  /** Draws from `random`. */
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
    const drawn = this.#draw(candidates);
    // Those with an idle connection are few in a large pool, and seldom drawn by chance.
    const connected = this.#draw(
      candidates.filter((view) => view.idleConnectionUntil > context.now),
    );
    const warmest = this.#tryWarmest(candidates, context);
    const scored = [...drawn, ...connected];
    if (warmest !== undefined) scored.push(warmest);
    return minimumBy(scored, (view) => this.#score(view, context));
  }

  #draw(candidates: readonly TargetView[]): readonly TargetView[] {
    return drawDistinct(candidates, {
      count: this.#options.drawn,
      random: this.#random,
    });
  }

  #tryWarmest(
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
 * Requests for each place of the back end: what the target reported, less what
 * was ours then, plus what is ours now. Our own count has no lag.
 */
export function estimateLoad(view: TargetView): number {
  const others = Math.max(0, view.reportedLoad - view.ownInReport);
  return (others + view.ownInFlight) / view.concurrency;
}

interface DrawOptions {
  readonly count: number;
  readonly random: RandomSource;
}

function drawDistinct(
  candidates: readonly TargetView[],
  options: DrawOptions,
): readonly TargetView[] {
  if (candidates.length <= options.count) return candidates;
  const drawn = new Set<TargetView>();
  while (drawn.size < options.count) {
    const index = options.random.nextBelow(candidates.length);
    drawn.add(candidates[index] as TargetView);
  }
  return [...drawn];
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
