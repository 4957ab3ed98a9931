/**
 * Types of the decider of a formed group: its events, effects and phases.
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

/** Options of a `FormedGroupDecider`. */
export interface FormedGroupDeciderOptions {
  /** State of a rank of the group when the decider starts. */
  readonly state: RankState;
  readonly random: RandomSource;
  readonly now: number;
  /**
   * Number of the first order; must differ from the numbers of other deciders' orders.
   */
  readonly firstOrderId: number;
}

/** A rank's sidecar reported the state of its engine. */
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
  /** Ratio of the pass duration to the pause objective, if both are known. */
  readonly passPauseRatio?: number;
}

/** Time passed. */
export interface DeciderTick {
  readonly kind: "tick";
  readonly now: number;
}

/** Input events of a decider. */
export type DeciderEvent = RankReported | MapProposed | DeciderTick;

/** Sends an order to a rank's sidecar. */
export interface SendOrder {
  readonly kind: "send_order";
  readonly rank: number;
  readonly orderId: number;
  readonly order: RankOrder;
  /**
   * Whether this order was sent before and has not been answered. A repeated order may be
   * sent directly to the engine, at a higher cost.
   */
  readonly isRepeated: boolean;
}

/** Queries a rank's sidecar for the state and the experts of its engine. */
export interface SendQuery {
  readonly kind: "send_query";
  readonly rank: number;
}

/** The decider entered another phase. */
export interface PhaseEntered {
  readonly kind: "phase_entered";
  readonly phase: DeciderPhase["kind"];
  readonly epoch: number;
  readonly version: number | undefined;
  readonly pass: number | undefined;
  /** Duration of the previous phase in milliseconds. */
  readonly tookMs: number;
}

/** A map came into force. */
export interface MapInForce {
  readonly kind: "map_in_force";
  readonly version: number;
}

/** Output effects of a decider. */
export type DeciderEffect = SendOrder | SendQuery | PhaseEntered | MapInForce;

/** The states and experts of all ranks are being collected. */
export interface Gathering {
  readonly kind: "gathering";
  readonly states: Map<number, RankState>;
  readonly experts: Map<number, RankExperts>;
}

/** No switch is in progress. */
export interface Settled {
  readonly kind: "settled";
  readonly map: ExpertMap;
}

/** The ranks load a map. */
export interface Preparing {
  readonly kind: "preparing";
  readonly version: number;
  readonly map: ExpertMap;
  /** The map in force meanwhile, which stays in force if this one is given up. */
  readonly previousMap: ExpertMap;
}

/** A switch at a pass. */
export interface SwitchAtPass {
  readonly version: number;
  readonly pass: number;
  /** Undefined when another decider planned the switch. */
  readonly map: ExpertMap | undefined;
}

/** The holder is being ordered to hold the pass of the switch. */
export interface Holding extends SwitchAtPass {
  readonly kind: "holding";
}

/** The pass is held; the holder is being armed, which commits the switch. */
export interface Deciding extends SwitchAtPass {
  readonly kind: "deciding";
}

/** The switch is committed; all other ranks are being armed. */
export interface Arming extends SwitchAtPass {
  readonly kind: "arming";
}

/**
 * The holder is being fenced, so that the switch of the held pass cannot be committed.
 */
export interface Fencing {
  readonly kind: "fencing";
  readonly version: number;
  readonly pass: number;
}

/** Either every rank will switch or none can; the held pass is being released. */
export interface Releasing {
  readonly kind: "releasing";
  /** Undefined if no rank can switch. */
  readonly version: number | undefined;
  readonly pass: number;
  readonly map: ExpertMap | undefined;
}

/** The pass was released and has not begun yet. */
export interface Switching {
  readonly kind: "switching";
  readonly version: number;
  readonly map: ExpertMap | undefined;
}

/** Phase of a decider. */
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
