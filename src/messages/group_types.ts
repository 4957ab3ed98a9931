/**
 * Types for a rank group: its expert map, the messages that coordinate a switch of the
 * map, and the orders to an engine.
 *
 * The target process of rank 0 is the coordinator, which decides on switches. The target
 * process of each rank, including rank 0, is a member, which sends orders to its engine.
 *
 * @module
 */

/** Experts in the slots of each rank for one layer: `experts[rank][slot]`. */
export interface LayerPlacement {
  readonly experts: readonly (readonly number[])[];
}

/** Placement of the experts on the ranks for every layer. */
export interface ExpertMap {
  readonly layers: readonly LayerPlacement[];
}

/** Activates a map at a step; earlier steps run without it. */
export interface Activation {
  readonly version: number;
  readonly step: number;
}

/** A map and its version. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/** State that an engine reports. It persists when the engine's target process exits. */
export interface EngineState {
  /** Number of the lock-step run; ranks of different runs never share a step. */
  readonly incarnation: number;
  /** Next step that the engine will run. */
  readonly step: number;
  /** Version of the map for that step, unless an activation specifies another one. */
  readonly activeVersion: number;
  /** Version of the map that is loaded in addition to the active one. */
  readonly stagedVersion: number | undefined;
  /** Step that the engine does not begin until it gets another order. */
  readonly holdBefore: number | undefined;
  /** The latest activation, whether its step is still ahead or has passed. */
  readonly activation: Activation | undefined;
  /** The loaded maps. */
  readonly maps: readonly VersionedMap[];
}

/** Load that an engine measured since the previous request for it. */
export interface RankLoad {
  /** Tokens per step that this rank computed for each expert of each layer. */
  readonly tokens: readonly (readonly number[])[];
  /** Ratio of this rank's time to the time that its tokens take at normal speed. */
  readonly slowdown: number;
}

/** Orders an engine to load a map in addition to the active one. */
export interface StageOrder {
  readonly kind: "stage";
  readonly version: number;
  readonly map: ExpertMap;
}

/** Orders an engine to begin a new lock-step run with a map and to hold before step 0. */
export interface AssembleOrder {
  readonly kind: "assemble";
  readonly incarnation: number;
  readonly version: number;
  readonly map: ExpertMap;
}

/** Orders an engine not to begin a step until it gets another order. */
export interface HoldOrder {
  readonly kind: "hold";
  readonly version: number;
  readonly step: number;
}

/** Orders an engine to run with the staged map from a step on, and to stop holding. */
export interface ActivateOrder {
  readonly kind: "activate";
  readonly version: number;
  readonly step: number;
}

/** Orders an engine to discard a staged map and to stop holding. */
export interface ReleaseOrder {
  readonly kind: "release";
  readonly version: number;
}

/** An order to an engine. All orders are idempotent. */
export type EngineOrder =
  | StageOrder
  | AssembleOrder
  | HoldOrder
  | ActivateOrder
  | ReleaseOrder;

/** Identifies the decider. At each member, an epoch belongs to a single decider. */
export interface Decider {
  /** Increases with each new decider of the group and each time a decider binds again. */
  readonly epoch: number;
  /** Incarnation of the decider's process. */
  readonly decider: string;
}

/** Announces the sender as the decider; members reject earlier deciders from then on. */
export interface BindMessage extends Decider {
  readonly kind: "bind";
}

/** Requests that a member load a map; with `assemble`, for a new lock-step run. */
export interface StageMessage extends Decider {
  readonly kind: "stage";
  readonly version: number;
  readonly map: ExpertMap;
  /** Number of the run to begin; undefined to continue the current one. */
  readonly assemble: number | undefined;
}

/** Requests a promise that the engine does not begin a step before the decision. */
export interface PrepareMessage extends Decider {
  readonly kind: "prepare";
  readonly version: number;
  readonly step: number;
}

/** Announces the decision that all ranks run with the map from the step on. */
export interface CommitMessage extends Decider {
  readonly kind: "commit";
  readonly version: number;
  readonly step: number;
}

/** Announces the decision that no rank runs with the map. */
export interface AbortMessage extends Decider {
  readonly kind: "abort";
  readonly version: number;
}

/** A message of rank 0 to a member. */
export type CoordinatorMessage =
  | BindMessage
  | StageMessage
  | PrepareMessage
  | CommitMessage
  | AbortMessage;

/** Confirms that the member follows the epoch, and reports the state of its engine. */
export interface BoundMessage {
  readonly kind: "bound";
  readonly epoch: number;
  readonly engine: EngineState;
}

/** Reports that the member follows another decider than the receiver. */
export interface OutdatedMessage {
  readonly kind: "outdated";
  /** The epoch that the member follows. */
  readonly epoch: number;
  /** The decider that the member follows. */
  readonly decider: string;
}

/** Reports that the map is loaded. */
export interface StagedMessage {
  readonly kind: "staged";
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
}

/** Promises that the engine does not begin the step before the decision. */
export interface PreparedMessage {
  readonly kind: "prepared";
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
}

/** Reports that the engine had begun the step before it could hold. */
export interface TooLateMessage {
  readonly kind: "too_late";
  readonly epoch: number;
  readonly version: number;
  /** The requested step. */
  readonly step: number;
  /** Next step of the engine. */
  readonly engineStep: number;
}

/** Reports that the engine has executed the decision on a version. */
export interface AppliedMessage {
  readonly kind: "applied";
  readonly epoch: number;
  readonly version: number;
}

/** Requests the decision while the engine holds. */
export interface DecisionRequestMessage {
  readonly kind: "ask";
  readonly epoch: number;
  readonly version: number;
}

/** A message of a member to rank 0. */
export type MemberMessage =
  | BoundMessage
  | OutdatedMessage
  | StagedMessage
  | PreparedMessage
  | TooLateMessage
  | AppliedMessage
  | DecisionRequestMessage;
