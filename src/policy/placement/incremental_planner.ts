/**
 * Plans the next map of a group whose popularity changes about as fast as
 * experts can be copied: a few copies at a time of what is asked for most.
 *
 * @module
 */
import type { ExpertMap, LayerPlacement } from "../../messages/group_types.ts";
import { PlacementDraft, type ReplicaChange } from "./placement_draft.ts";

/** What a plan is made from. */
export interface PlanInput {
  readonly current: ExpertMap;
  /** Tokens by layer and expert, in any unit. */
  readonly tokens: readonly (readonly number[])[];
  /** Time of each rank over that of a rank of usual speed. */
  readonly paces: readonly number[];
}

/** Bounds of one plan. */
export interface PlanLimits {
  /** Experts that a rank can hold of one layer. */
  readonly slotsPerRank: number;
  /** Experts that a rank may load for one map, over all layers. */
  readonly mostNewPerRank: number;
  /** Experts of one layer that a rank may load for one map. */
  readonly mostNewPerLayer: number;
  /** Milliseconds to load one expert. */
  readonly loadMs: number;
  /**
   * Time of a pass over the pause that callers bear, if both are known: near 1 a pass
   * that takes longer makes answers late, far below nobody notices.
   */
  readonly passPart?: number;
}

/** A planned map. */
export interface IncrementalPlan {
  readonly map: ExpertMap;
  /** Experts that ranks must load. */
  readonly copies: number;
  /** Sum over the layers of the most loaded rank's part; 1 a layer is even. */
  readonly costBefore: number;
  readonly costAfter: number;
}

/**
 * Part by which one copy makes all passes slower while it is made: 0.15 however many
 * ranks copy, so a copy has a part of it, as three or more ranks copy side by side.
 */
const COPY_SLOWDOWN = 0.05;
/**
 * Milliseconds for which a copy is of use: popularity changes every few seconds, and a copy
 * is in force after a part of that.
 */
const USEFUL_MS = 2500;
/**
 * Part of a pass that one copy must save while passes take no time at all, over the part
 * of all experts that it moves; the longer passes take against the pause that callers
 * bear, the less.
 */
const EASY_GAIN = 10;
/**
 * Milliseconds by which a switch delays the group: its pass is held until all ranks are
 * armed. Over {@link USEFUL_MS} it must save as much, or nobody is better off.
 */
const SWITCH_MS = 40;
/**
 * Part of a pass that a plan must save, beside that, while passes take no time against the
 * pause that callers bear: nobody notices what it saves, and each switch may hold the group
 * for a moment that all of its callers notice.
 */
const EASY_PLAN_GAIN = 0.08;
/** Part of that pause from which each copy that makes up for itself is made. */
const PRESSING_PASS_PART = 0.8;
/** Part of a layer's cost that dropping a replica must save: no copy is needed. */
const SMALLEST_DROP_GAIN = 0.001;
/** Most loaded ranks of a layer whose experts are given more replicas. */
const RANKS_CONSIDERED = 2;
/**
 * Least loaded ranks of a layer that are considered for a copy: the best one is among
 * them, and plans for large groups take a third of the time.
 */
const RECEIVERS_CONSIDERED = 16;
/** Replicas at a full rank that are considered for being dropped. */
const DROPS_CONSIDERED = 2;

interface ScoredChange {
  readonly layer: number;
  readonly change: ReplicaChange;
  readonly gain: number;
}

/**
 * Plans the next map; undefined when no copy is worth its while.
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
  /** Part of a pass that one copy must save. */
  readonly #smallestGain: number;
  readonly #drafts: readonly PlacementDraft[];
  /** Copies by rank, and by rank within each layer. */
  readonly #copies: number[];
  readonly #copiesByLayer: readonly number[][];
  /** Best change of each layer; undefined: none, missing: to be searched. */
  readonly #bestOf = new Map<number, ScoredChange | undefined>();

  constructor(input: PlanInput, limits: PlanLimits) {
    const { current, tokens, paces } = input;
    const { slotsPerRank } = limits;
    this.#limits = limits;
    this.#drafts = current.layers.map((placement, layer) =>
      new PlacementDraft({
        placement,
        tokens: normalized(tokens[layer] as readonly number[]),
        paces,
        slotsPerRank,
      })
    );
    const experts = tokens.reduce((sum, layer) => sum + layer.length, 0);
    this.#smallestGain = smallestGainOf(limits, 1 / experts);
    const ranks = current.layers[0]?.experts.length ?? 0;
    this.#copies = new Array<number>(ranks).fill(0);
    this.#copiesByLayer = current.layers.map(() =>
      new Array<number>(ranks).fill(0)
    );
  }

  tryPlan(): IncrementalPlan | undefined {
    const costBefore = this.#cost();
    const droppedBefore = this.#dropReplicas();
    const made = this.#addReplicas();
    const dropped = droppedBefore + this.#dropReplicas();
    if (dropped + made === 0) return undefined;
    const costAfter = this.#cost();
    const gain = (costBefore - costAfter) / costBefore;
    if (gain < smallestPlanGainOf(this.#limits)) return undefined;
    const layers = this.#drafts.map((draft): LayerPlacement =>
      draft.toPlacement()
    );
    return {
      map: { layers },
      copies: made,
      costBefore,
      costAfter,
    };
  }

  #addReplicas(): number {
    let made = 0;
    for (let best = this.#tryBest(); best; best = this.#tryBest()) {
      const { layer, change } = best;
      this.#drafts[layer]?.make(change);
      const counts = this.#copiesByLayer[layer] as number[];
      counts[change.rank] = (counts[change.rank] as number) + 1;
      this.#copies[change.rank] = (this.#copies[change.rank] as number) + 1;
      this.#forgetBest(layer, change.rank);
      made++;
    }
    return made;
  }

  /** Dropping a replica where its rank is loaded most needs no copy. */
  #dropReplicas(): number {
    let dropped = 0;
    for (const draft of this.#drafts) {
      while (this.#tryDrop(draft)) dropped++;
    }
    return dropped;
  }

  #tryDrop(draft: PlacementDraft): boolean {
    const rank = draft.ranksByLoad()[0] as number;
    const limit = draft.cost * (1 - SMALLEST_DROP_GAIN);
    const expert = draft.droppableAt(rank)
      .find((one) => draft.costWithout(rank, one) < limit);
    if (expert === undefined) return false;
    draft.drop(rank, expert);
    return true;
  }

  #tryBest(): ScoredChange | undefined {
    let best: ScoredChange | undefined;
    const smallest = this.#smallestGain * this.#highestLoads();
    for (const layer of this.#drafts.keys()) {
      const candidate = this.#knownBestOf(layer);
      const least = best?.gain ?? smallest;
      if (candidate !== undefined && candidate.gain > least) best = candidate;
    }
    return best;
  }

  /**
   * Searched again only after a change that concerns the layer: with 16 layers a
   * plan takes a tenth of the time.
   */
  #knownBestOf(layer: number): ScoredChange | undefined {
    if (!this.#bestOf.has(layer)) {
      this.#bestOf.set(layer, this.#tryBestOf(layer));
    }
    return this.#bestOf.get(layer);
  }

  /** A change was made in a layer, for which a rank loads an expert. */
  #forgetBest(changed: number, rank: number): void {
    this.#bestOf.delete(changed);
    for (const [layer, best] of this.#bestOf) {
      const isOver = best?.change.rank === rank && !this.#mayLoad(layer, rank);
      if (isOver) this.#bestOf.delete(layer);
    }
  }

  #tryBestOf(layer: number): ScoredChange | undefined {
    const draft = this.#drafts[layer] as PlacementDraft;
    const cost = draft.cost;
    let best: ScoredChange | undefined;
    for (const change of this.#changesOf(layer)) {
      const gain = cost - draft.costAfter(change);
      if (gain > (best?.gain ?? 0)) best = { layer, change, gain };
    }
    return best;
  }

  *#changesOf(layer: number): Iterable<ReplicaChange> {
    const draft = this.#drafts[layer] as PlacementDraft;
    const ranks = draft.ranksByLoad();
    const room = ranks.filter((rank) => this.#mayLoad(layer, rank))
      .slice(-RECEIVERS_CONSIDERED);
    const droppable = new Map(
      room.map((rank) => [rank, droppableAt(draft, rank)]),
    );
    for (const hot of ranks.slice(0, RANKS_CONSIDERED)) {
      for (const expert of draft.expertsOf(hot)) {
        for (const [rank, dropped] of droppable) {
          if (draft.holds(rank, expert)) continue;
          yield* changesOf({ expert, rank, movedFrom: hot }, dropped);
        }
      }
    }
  }

  #mayLoad(layer: number, rank: number): boolean {
    const { mostNewPerRank, mostNewPerLayer } = this.#limits;
    const ofLayer = this.#copiesByLayer[layer] as number[];
    return (this.#copies[rank] as number) < mostNewPerRank &&
      (ofLayer[rank] as number) < mostNewPerLayer;
  }

  /** The most loaded ranks' parts, one a layer: what a pass takes. */
  #highestLoads(): number {
    return this.#drafts.reduce((sum, draft) => sum + draft.highestLoad, 0);
  }

  #cost(): number {
    return this.#highestLoads() * (this.#drafts[0]?.ranks ?? 0);
  }
}

/**
 * Part of a pass that one copy must save: what makes up for the passes that it slows
 * down (0.024 for one that takes 400 ms), and more while passes are short.
 */
function smallestGainOf(
  { loadMs, passPart }: PlanLimits,
  movedPart: number,
): number {
  const forSlowdown = COPY_SLOWDOWN * loadMs / USEFUL_MS;
  return Math.max(forSlowdown, EASY_GAIN * movedPart * easeOf(passPart));
}

/** Part of a pass that all copies of a plan must save together, for the switch. */
function smallestPlanGainOf({ passPart }: PlanLimits): number {
  return SWITCH_MS / USEFUL_MS + EASY_PLAN_GAIN * easeOf(passPart);
}

/** 1 while passes take no time against the pause that callers bear, 0 near it. */
function easeOf(passPart: number | undefined): number {
  return 1 - clampToUnit((passPart ?? 1) / PRESSING_PASS_PART);
}

function clampToUnit(value: number): number {
  return Math.min(1, Math.max(0, value));
}

/** What a rank may drop for a new expert; undefined where it has room. */
function droppableAt(
  draft: PlacementDraft,
  rank: number,
): readonly number[] | undefined {
  if (draft.hasRoom(rank)) return undefined;
  return draft.droppableAt(rank).slice(0, DROPS_CONSIDERED);
}

/** The ways to bring an expert to a rank: as one more replica, or moved. */
function changesOf(
  move: Required<Pick<ReplicaChange, "expert" | "rank" | "movedFrom">>,
  droppable: readonly number[] | undefined,
): readonly ReplicaChange[] {
  const { expert, rank } = move;
  if (droppable === undefined) return [{ expert, rank }, move];
  return droppable
    .flatMap((dropped) => [{ expert, rank, dropped }, { ...move, dropped }]);
}

/** Parts of the whole; even when nothing was counted. */
function normalized(tokens: readonly number[]): readonly number[] {
  const total = tokens.reduce((sum, count) => sum + count, 0);
  if (total === 0) return tokens.map(() => 1 / tokens.length);
  return tokens.map((count) => count / total);
}
