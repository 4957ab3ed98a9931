/**
 * Types of the decider at rank 0: its events, effects and phases.
 *
 * @module
 */
import type {
  CoordinatorMessage,
  EngineState,
  ExpertMap,
  MemberMessage,
} from "../messages/group_types.ts";

/** Options of a `GroupCoordinator`. */
export interface GroupCoordinatorOptions {
  readonly ranks: number;
  /** Incarnation of this decider's process. */
  readonly decider: string;
  /** Initial map of a group that has none yet. */
  readonly firstMap: ExpertMap;
  /**
   * Initial epoch. Later starts should pass a higher one, such as the seconds of the wall
   * clock. It only ensures that the numbers of runs and versions stay distinct after all
   * engines of a group were replaced at once.
   */
  readonly firstEpoch: number;
  /**
   * Steps between the most advanced rank and the step of a switch. Doubles each time that
   * a rank begins the switch step before it receives the message to prepare it.
   */
  readonly marginSteps?: number;
}

/** A message of a rank was received. */
export interface MemberMessageReceived {
  readonly kind: "member_said";
  readonly now: number;
  readonly rank: number;
  readonly message: MemberMessage;
}

/** A connection to a rank was established; the rank's process may be a new one. */
export interface MemberConnected {
  readonly kind: "member_connected";
  readonly now: number;
  readonly rank: number;
}

/** The planner proposes a map. */
export interface MapProposed {
  readonly kind: "map_proposed";
  readonly now: number;
  readonly map: ExpertMap;
}

/** Time passed. */
export interface CoordinatorTick {
  readonly kind: "tick";
  readonly now: number;
}

/** Input events of a decider. */
export type CoordinatorEvent =
  | MemberMessageReceived
  | MemberConnected
  | MapProposed
  | CoordinatorTick;

/** Sends a message to a rank. */
export interface SendToMember {
  readonly kind: "say";
  readonly rank: number;
  readonly message: CoordinatorMessage;
}

/** A switch was committed or aborted. */
export interface SwitchDecided {
  readonly kind: "switch_decided";
  readonly version: number;
  readonly isCommitted: boolean;
}

/** A proposed map was rejected because another switch is in progress. */
export interface ProposalDropped {
  readonly kind: "proposal_dropped";
}

/** Output effects of a decider. */
export type CoordinatorEffect = SendToMember | SwitchDecided | ProposalDropped;

/** The states of all engines are being collected. @internal */
export interface Binding {
  readonly kind: "binding";
  readonly engines: Map<number, EngineState>;
}

/** No switch is in progress. @internal */
export interface Idle {
  readonly kind: "idle";
}

/** The ranks load a map. @internal */
export interface Staging {
  readonly kind: "staging";
  readonly version: number;
  readonly map: ExpertMap;
  readonly assemble: number | undefined;
  readonly startedAt: number;
  readonly steps: Map<number, number>;
}

/** The ranks promise to hold before the switch step. @internal */
export interface Preparing {
  readonly kind: "preparing";
  readonly version: number;
  readonly map: ExpertMap;
  readonly assemble: number | undefined;
  readonly startedAt: number;
  readonly step: number;
  readonly prepared: Set<number>;
}

/** Phase of a decider. @internal */
export type Phase = Binding | Idle | Staging | Preparing;

/** The decision about a version. @internal */
export interface Decision {
  readonly version: number;
  /** Step of the switch; undefined when it was aborted. */
  readonly step: number | undefined;
}
