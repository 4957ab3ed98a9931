/**
 * The vocabulary of a rank group: its expert map, the messages by which the map
 * is switched, and what an engine can be ordered to do.
 *
 * The target process at rank 0 decides; the one at each rank, rank 0 included,
 * is a member and gives its engine orders.
 *
 * @module
 */

/** Experts in the slots of each rank, for one layer: `experts[rank][slot]`. */
export interface LayerPlacement {
  readonly experts: readonly (readonly number[])[];
}

/** Which rank holds which experts, for every layer. */
export interface ExpertMap {
  readonly layers: readonly LayerPlacement[];
}

/** The engine runs with a map at a step, and not before it. */
export interface Activation {
  readonly version: number;
  readonly step: number;
}

/** A map and its number. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/** What an engine says of itself. It outlives the process in front of it. */
export interface EngineState {
  /** Number of the lock-step run; ranks of different runs never step together. */
  readonly incarnation: number;
  /** Next step that the engine would run. */
  readonly step: number;
  /** Map of that step, unless an activation says otherwise. */
  readonly activeVersion: number;
  /** Map that is loaded beside the active one. */
  readonly stagedVersion: number | undefined;
  /** Step that the engine does not begin until it is told more. */
  readonly holdBefore: number | undefined;
  /** The newest activation, ahead or past. */
  readonly activation: Activation | undefined;
  /** The maps that are loaded. */
  readonly maps: readonly VersionedMap[];
}

/** What an engine counted since it was last asked. */
export interface RankLoad {
  /** Tokens a step that this rank computed for each expert of each layer. */
  readonly tokens: readonly (readonly number[])[];
  /** Time of this rank over what its tokens take at usual speed. */
  readonly slowdown: number;
}

/** Load a map beside the active one. */
export interface StageOrder {
  readonly kind: "stage";
  readonly version: number;
  readonly map: ExpertMap;
}

/** Begin a new lock-step run with a map, held before its step 0. */
export interface AssembleOrder {
  readonly kind: "assemble";
  readonly incarnation: number;
  readonly version: number;
  readonly map: ExpertMap;
}

/** Do not begin this step until told more; too late if it has begun. */
export interface HoldOrder {
  readonly kind: "hold";
  readonly version: number;
  readonly step: number;
}

/** Run with the staged map from this step on, and hold no longer. */
export interface ActivateOrder {
  readonly kind: "activate";
  readonly version: number;
  readonly step: number;
}

/** Drop a staged map and hold no longer. */
export interface ReleaseOrder {
  readonly kind: "release";
  readonly version: number;
}

/** What an engine can be ordered to do. All orders are idempotent. */
export type EngineOrder =
  | StageOrder
  | AssembleOrder
  | HoldOrder
  | ActivateOrder
  | ReleaseOrder;

/** Who decides. An epoch belongs to one decider at each member. */
export interface Decider {
  /** Grows with each decider of the group, and each time it binds anew. */
  readonly epoch: number;
  /** Incarnation of the decider's process. */
  readonly decider: string;
}

/** The sender decides from now on; earlier deciders are to be refused. */
export interface BindMessage extends Decider {
  readonly kind: "bind";
}

/** Load a map; with `assemble`, for a new lock-step run. */
export interface StageMessage extends Decider {
  readonly kind: "stage";
  readonly version: number;
  readonly map: ExpertMap;
  /** Number of the run to begin; undefined to go on with the present one. */
  readonly assemble: number | undefined;
}

/** Promise not to begin a step without the decision. */
export interface PrepareMessage extends Decider {
  readonly kind: "prepare";
  readonly version: number;
  readonly step: number;
}

/** The decision: all ranks run with the map from the step on. */
export interface CommitMessage extends Decider {
  readonly kind: "commit";
  readonly version: number;
  readonly step: number;
}

/** The decision: no rank runs with the map. */
export interface AbortMessage extends Decider {
  readonly kind: "abort";
  readonly version: number;
}

/** What rank 0 says to a member. */
export type CoordinatorMessage =
  | BindMessage
  | StageMessage
  | PrepareMessage
  | CommitMessage
  | AbortMessage;

/** The member follows the epoch, and tells what its engine has. */
export interface BoundMessage {
  readonly kind: "bound";
  readonly epoch: number;
  readonly engine: EngineState;
}

/** The member does not follow the sender. */
export interface OutdatedMessage {
  readonly kind: "outdated";
  /** The epoch that the member follows. */
  readonly epoch: number;
  /** The decider that the member follows. */
  readonly decider: string;
}

/** The map is loaded. */
export interface StagedMessage {
  readonly kind: "staged";
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
}

/** The engine will not begin the step without the decision. */
export interface PreparedMessage {
  readonly kind: "prepared";
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
}

/** The engine had begun the step before it could be held. */
export interface TooLateMessage {
  readonly kind: "too_late";
  readonly epoch: number;
  readonly version: number;
  /** The step that was asked for. */
  readonly step: number;
  /** Next step of the engine. */
  readonly engineStep: number;
}

/** The engine has carried out the decision on a version. */
export interface AppliedMessage {
  readonly kind: "applied";
  readonly epoch: number;
  readonly version: number;
}

/** The member holds and asks for the decision. */
export interface AskMessage {
  readonly kind: "ask";
  readonly epoch: number;
  readonly version: number;
}

/** What a member says to rank 0. */
export type MemberMessage =
  | BoundMessage
  | OutdatedMessage
  | StagedMessage
  | PreparedMessage
  | TooLateMessage
  | AppliedMessage
  | AskMessage;
