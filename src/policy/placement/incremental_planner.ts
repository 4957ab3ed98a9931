/**
 * Plans the next expert map of a group whose expert popularity changes about as fast as
 * experts can be copied: each plan makes a few copies of the most requested experts.
 *
 * @module
 */
import type { ExpertMap, LayerPlacement } from "../../messages/group_types.ts";
import { PlacementDraft, type ReplicaChange } from "./placement_draft.ts";

/** The input of a plan. */
export interface PlanInput {
  readonly current: ExpertMap;
  /** Tokens by layer and expert, in any unit. */
  readonly tokens: readonly (readonly number[])[];
  /** Time of each rank relative to a rank of usual speed. */
  readonly paces: readonly number[];
}

/** Bounds of one plan. */
export interface PlanLimits {
  /** Maximum number of experts of one layer that a rank holds. */
  readonly slotsPerRank: number;
  /** Maximum number of experts that a rank loads for one map, over all layers. */
  readonly maxNewPerRank: number;
  /** Maximum number of experts of one layer that a rank loads for one map. */
  readonly maxNewPerLayer: number;
  /** Milliseconds to load one expert. */
  readonly loadMs: number;
  /**
   * Ratio of the pass time to the pause that callers tolerate, if both are known. Near 1
   * a longer pass makes answers late, far below 1 nobody notices it.
   */
  readonly passFraction?: number;
}

/** A planned map. */
export interface IncrementalPlan {
  readonly map: ExpertMap;
  /** Number of experts that ranks must load. */
  readonly copies: number;
  /** Sum over the layers of the most loaded rank's relative load; 1 for an even layer. */
  readonly costBefore: number;
  readonly costAfter: number;
}

/**
 * Relative increase of the pass time during one copy. Copying slows passes down by 0.15,
 * however many ranks copy, and usually three or more of them copy at the same time.
 */
const COPY_SLOWDOWN = 0.05;
/**
 * Milliseconds for which a copy is useful: popularity changes every few seconds, and a
 * copy takes a fraction of that time to come into force.
 */
const USEFUL_MS = 2500;
/**
 * Minimum benefit of one copy when the pass time is 0, as the ratio of the fraction of a
 * pass that it saves to the fraction of all experts that it moves. The minimum falls as
 * the pass time approaches the pause that callers tolerate.
 */
const SHORT_PASS_COPY_GAIN = 10;
/**
 * Milliseconds for which a switch delays the group, as its pass is held until all ranks
 * are armed. The plan must save at least as much within {@link USEFUL_MS}.
 */
const SWITCH_MS = 40;
/**
 * Fraction of a pass that a plan must save in addition when the pass time is 0: callers
 * do not notice what it saves, but each switch may hold the group for a moment that all
 * of them notice.
 */
const SHORT_PASS_PLAN_GAIN = 0.08;
/**
 * Ratio of the pass time to that pause from which on every copy is made that saves more
 * than it costs.
 */
const LONG_PASS_FRACTION = 0.8;
/**
 * Fraction of a layer's cost that dropping a replica must save; dropping needs no copy.
 */
const MIN_DROP_GAIN = 0.001;
/** Number of most loaded ranks of a layer whose experts may get more replicas. */
const MAX_HOT_RANKS = 2;
/**
 * Number of least loaded ranks of a layer that are considered as destinations. The best
 * one is among them, and plans for large groups take a third of the time.
 */
const MAX_RECEIVERS = 16;
/** Number of replicas at a full rank that are considered for removal. */
const MAX_DROP_CANDIDATES = 2;

interface ScoredChange {
  readonly layer: number;
  readonly change: ReplicaChange;
  readonly gain: number;
}

/**
 * Plans the next map; returns undefined if no change is beneficial.
 *
 * @example
 * ```ts
 * const plan = tryPlanIncrement({ current, tokens, paces }, limits);
 * ```
 */
export function tryPlanIncrement(
  input: PlanInput,
  limits: PlanLimits,
): IncrementalPlan | undefined {
  return new IncrementSearch(input, limits).tryPlan();
}

class IncrementSearch {
  readonly #limits: PlanLimits;
  /** Minimum fraction of a pass that one copy must save. */
  readonly #minCopyGain: number;
  readonly #drafts: readonly PlacementDraft[];
  /** Number of copies by rank, and by layer and rank. */
  readonly #copies: number[];
  readonly #copiesByLayer: readonly number[][];
  /**
   * Best change of each layer: undefined if there is none, absent if not yet searched.
   */
  readonly #bestByLayer = new Map<number, ScoredChange | undefined>();

  constructor(input: PlanInput, limits: PlanLimits) {
    const { current, tokens, paces } = input;
    const { slotsPerRank } = limits;
    this.#limits = limits;
    this.#drafts = current.layers.map((placement, layer) =>
      new PlacementDraft({
        placement,
        tokens: normalize(tokens[layer] as readonly number[]),
        paces,
        slotsPerRank,
      })
    );
    const experts = tokens.reduce((sum, layer) => sum + layer.length, 0);
    this.#minCopyGain = getMinCopyGain(limits, 1 / experts);
    const ranks = current.layers[0]?.experts.length ?? 0;
    this.#copies = new Array<number>(ranks).fill(0);
    this.#copiesByLayer = current.layers.map(() =>
      new Array<number>(ranks).fill(0)
    );
  }

  tryPlan(): IncrementalPlan | undefined {
    const costBefore = this.#getCost();
    const droppedBefore = this.#dropReplicas();
    const added = this.#addReplicas();
    const dropped = droppedBefore + this.#dropReplicas();
    if (dropped + added === 0) return undefined;
    const costAfter = this.#getCost();
    const gain = (costBefore - costAfter) / costBefore;
    if (gain < getMinPlanGain(this.#limits)) return undefined;
    const layers = this.#drafts.map((draft): LayerPlacement =>
      draft.toPlacement()
    );
    return {
      map: { layers },
      copies: added,
      costBefore,
      costAfter,
    };
  }

  #addReplicas(): number {
    let added = 0;
    for (let best = this.#tryFindBest(); best; best = this.#tryFindBest()) {
      const { layer, change } = best;
      this.#drafts[layer]?.make(change);
      const counts = this.#copiesByLayer[layer] as number[];
      counts[change.rank] = (counts[change.rank] as number) + 1;
      this.#copies[change.rank] = (this.#copies[change.rank] as number) + 1;
      this.#invalidateBest(layer, change.rank);
      added++;
    }
    return added;
  }

  /** Drops replicas at the most loaded ranks where that lowers the cost. */
  #dropReplicas(): number {
    let dropped = 0;
    for (const draft of this.#drafts) {
      while (this.#tryDrop(draft)) dropped++;
    }
    return dropped;
  }

  #tryDrop(draft: PlacementDraft): boolean {
    const rank = draft.ranksByLoad()[0] as number;
    const limit = draft.cost * (1 - MIN_DROP_GAIN);
    const expert = draft.droppableAt(rank)
      .find((candidate) => draft.costWithout(rank, candidate) < limit);
    if (expert === undefined) return false;
    draft.drop(rank, expert);
    return true;
  }

  #tryFindBest(): ScoredChange | undefined {
    let best: ScoredChange | undefined;
    const minGain = this.#minCopyGain * this.#sumHighestLoads();
    for (const layer of this.#drafts.keys()) {
      const candidate = this.#getCachedBestOf(layer);
      const bound = best?.gain ?? minGain;
      if (candidate !== undefined && candidate.gain > bound) best = candidate;
    }
    return best;
  }

  /**
   * Returns the best change of a layer. It is cached until a change affects the layer,
   * which makes planning 16 layers ten times as fast.
   */
  #getCachedBestOf(layer: number): ScoredChange | undefined {
    if (!this.#bestByLayer.has(layer)) {
      this.#bestByLayer.set(layer, this.#tryFindBestOf(layer));
    }
    return this.#bestByLayer.get(layer);
  }

  /**
   * Invalidates the best changes affected by a change in a layer for which a rank loads
   * an expert.
   */
  #invalidateBest(changed: number, rank: number): void {
    this.#bestByLayer.delete(changed);
    for (const [layer, best] of this.#bestByLayer) {
      const isExhausted = best?.change.rank === rank &&
        !this.#mayLoad(layer, rank);
      if (isExhausted) this.#bestByLayer.delete(layer);
    }
  }

  #tryFindBestOf(layer: number): ScoredChange | undefined {
    const draft = this.#drafts[layer] as PlacementDraft;
    const cost = draft.cost;
    let best: ScoredChange | undefined;
    for (const change of this.#listChanges(layer)) {
      const gain = cost - draft.costAfter(change);
      if (gain > (best?.gain ?? 0)) best = { layer, change, gain };
    }
    return best;
  }

  *#listChanges(layer: number): Iterable<ReplicaChange> {
    const draft = this.#drafts[layer] as PlacementDraft;
    const ranks = draft.ranksByLoad();
    const receivers = ranks.filter((rank) => this.#mayLoad(layer, rank))
      .slice(-MAX_RECEIVERS);
    const droppable = new Map(
      receivers.map((rank) => [rank, listDroppable(draft, rank)]),
    );
    for (const hotRank of ranks.slice(0, MAX_HOT_RANKS)) {
      for (const expert of draft.expertsOf(hotRank)) {
        for (const [rank, dropped] of droppable) {
          if (draft.holds(rank, expert)) continue;
          yield* listVariants({ expert, rank, movedFrom: hotRank }, dropped);
        }
      }
    }
  }

  #mayLoad(layer: number, rank: number): boolean {
    const { maxNewPerRank, maxNewPerLayer } = this.#limits;
    const ofLayer = this.#copiesByLayer[layer] as number[];
    return (this.#copies[rank] as number) < maxNewPerRank &&
      (ofLayer[rank] as number) < maxNewPerLayer;
  }

  /**
   * Returns the sum over the layers of the most loaded rank's load, which determines the
   * pass time.
   */
  #sumHighestLoads(): number {
    return this.#drafts.reduce((sum, draft) => sum + draft.highestLoad, 0);
  }

  #getCost(): number {
    return this.#sumHighestLoads() * (this.#drafts[0]?.ranks ?? 0);
  }
}

/**
 * Returns the minimum fraction of a pass that one copy must save: enough to make up for
 * the passes that it slows down (0.008 for a copy of 400 ms), and more while passes are
 * short.
 */
function getMinCopyGain(
  { loadMs, passFraction }: PlanLimits,
  movedFraction: number,
): number {
  const forSlowdown = COPY_SLOWDOWN * loadMs / USEFUL_MS;
  return Math.max(
    forSlowdown,
    SHORT_PASS_COPY_GAIN * movedFraction * getPassSlack(passFraction),
  );
}

/**
 * Returns the fraction of a pass that all copies of a plan must save together to justify
 * the switch.
 */
function getMinPlanGain({ passFraction }: PlanLimits): number {
  return SWITCH_MS / USEFUL_MS +
    SHORT_PASS_PLAN_GAIN * getPassSlack(passFraction);
}

/**
 * Returns 1 for a pass time of 0, falling to 0 as it approaches the pause that callers
 * tolerate.
 */
function getPassSlack(passFraction: number | undefined): number {
  return 1 - clampToUnit((passFraction ?? 1) / LONG_PASS_FRACTION);
}

function clampToUnit(value: number): number {
  return Math.min(1, Math.max(0, value));
}

/**
 * Returns the experts that a rank may drop for a new one; undefined if it has a free
 * slot.
 */
function listDroppable(
  draft: PlacementDraft,
  rank: number,
): readonly number[] | undefined {
  if (draft.hasRoom(rank)) return undefined;
  return draft.droppableAt(rank).slice(0, MAX_DROP_CANDIDATES);
}

/** Returns the ways to bring an expert to a rank: as an additional replica, or moved. */
function listVariants(
  move: Required<Pick<ReplicaChange, "expert" | "rank" | "movedFrom">>,
  droppable: readonly number[] | undefined,
): readonly ReplicaChange[] {
  const { expert, rank } = move;
  if (droppable === undefined) return [{ expert, rank }, move];
  return droppable
    .flatMap((dropped) => [{ expert, rank, dropped }, { ...move, dropped }]);
}

/**
 * Normalizes counts to fractions of their sum; the fractions are equal if nothing was
 * counted.
 */
function normalize(tokens: readonly number[]): readonly number[] {
  const total = tokens.reduce((sum, count) => sum + count, 0);
  if (total === 0) return tokens.map(() => 1 / tokens.length);
  return tokens.map((count) => count / total);
}
