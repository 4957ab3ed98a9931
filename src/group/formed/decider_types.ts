/**
 * The vocabulary of the decider of a formed group: events, effects and phases.
 *
 * @module
 */
import type { RandomSource } from "../../core/random_source.ts";
import type { ExpertMap } from "../../messages/group_types.ts";
import type {
  RankExperts,
  RankOrder,
  RankReportMessage,
  RankState,
} from "../../messages/formed_group_types.ts";

/** Options of a decider of a formed group. */
export interface FormedGroupDeciderOptions {
  /** State of rank 0 as the decider starts. */
  readonly state: RankState;
  readonly random: RandomSource;
  readonly now: number;
  /** Number of its first order, apart from those of other deciders of the group. */
  readonly firstOrderId: number;
}

/** A rank's process said how its engine stands. */
export interface RankReported {
  readonly kind: "rank_reported";
  readonly now: number;
  readonly rank: number;
  readonly report: RankReportMessage;
}

/** The planner proposes a map. */
export interface MapProposed {
  readonly kind: "map_proposed";
  readonly now: number;
  readonly map: ExpertMap;
  /** Time of a pass over the pause that callers bear, if both are known. */
  readonly passPauseRatio?: number;
}

/** Time passed. */
export interface DeciderTick {
  readonly kind: "tick";
  readonly now: number;
}

/** Everything that can happen to a decider. */
export type DeciderEvent = RankReported | MapProposed | DeciderTick;

/** Let a rank's process give an order. */
export interface SendOrder {
  readonly kind: "send_order";
  readonly rank: number;
  readonly orderId: number;
  readonly order: RankOrder;
  /**
   * Whether the rank's process has not answered this order yet: the engine can be
   * given it from here, for what that costs.
   */
  readonly isRepeated: boolean;
}

/** Ask a rank's process how its engine stands, and what it holds. */
export interface SendQuery {
  readonly kind: "send_query";
  readonly rank: number;
}

/** The decider goes from one phase to the next. */
export interface PhaseEntered {
  readonly kind: "phase_entered";
  readonly phase: DeciderPhase["kind"];
  readonly epoch: number;
  readonly version: number | undefined;
  readonly pass: number | undefined;
  /** Milliseconds that the phase before took. */
  readonly tookMs: number;
}

/** A map came into force. */
export interface MapInForce {
  readonly kind: "map_in_force";
  readonly version: number;
}

/** Everything that a decider can ask for. */
export type DeciderEffect = SendOrder | SendQuery | PhaseEntered | MapInForce;

/** What every rank holds is not known yet. */
export interface Gathering {
  readonly kind: "gathering";
  readonly states: Map<number, RankState>;
  readonly experts: Map<number, RankExperts>;
}

/** No switch is under way. */
export interface Settled {
  readonly kind: "settled";
  readonly map: ExpertMap;
}

/** The ranks load a map. */
export interface Preparing {
  readonly kind: "preparing";
  readonly version: number;
  readonly map: ExpertMap;
  /** The map in force meanwhile, and if this one is given up. */
  readonly before: ExpertMap;
}

/** A switch at a pass. */
export interface SwitchAtPass {
  readonly version: number;
  readonly pass: number;
  /** Undefined when an earlier decider planned it. */
  readonly map: ExpertMap | undefined;
}

/** The pass of the switch is to be held. */
export interface Holding extends SwitchAtPass {
  readonly kind: "holding";
}

/** The pass is held; the holder is armed first, which decides the switch. */
export interface Deciding extends SwitchAtPass {
  readonly kind: "deciding";
}

/** The switch is decided; all other ranks are armed. */
export interface Arming extends SwitchAtPass {
  readonly kind: "arming";
}

/** Nobody may decide the switch of a held pass any more. */
export interface Fencing {
  readonly kind: "fencing";
  readonly version: number;
  readonly pass: number;
}

/** Every rank will switch or none can; the pass may begin. */
export interface Releasing {
  readonly kind: "releasing";
  /** Undefined: no rank can switch. */
  readonly version: number | undefined;
  readonly pass: number;
  readonly map: ExpertMap | undefined;
}

/** The pass of the switch has not begun yet. */
export interface Switching {
  readonly kind: "switching";
  readonly version: number;
  readonly map: ExpertMap | undefined;
}

/** Where a decider stands. */
export type DeciderPhase =
  | Gathering
  | Settled
  | Preparing
  | Holding
  | Deciding
  | Arming
  | Fencing
  | Releasing
  | Switching;
