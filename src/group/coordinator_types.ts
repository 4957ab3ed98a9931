/**
 * The vocabulary of rank 0's decider: its events, effects and phases.
 *
 * @module
 */
import type {
  CoordinatorMessage,
  EngineState,
  ExpertMap,
  MemberMessage,
} from "../messages/group_types.ts";

/** Options of the decider of rank 0. */
export interface GroupCoordinatorOptions {
  readonly ranks: number;
  /** Incarnation of this process. */
  readonly decider: string;
  /** Map for a group that has none yet. */
  readonly firstMap: ExpertMap;
  /**
   * Epoch to begin with; later starts should give a higher one (seconds of the
   * wall clock do). Nothing depends on it but that runs and versions keep
   * distinct numbers after all engines of a group were replaced at once.
   */
  readonly firstEpoch: number;
  /**
   * Steps between the furthest rank and the step of a switch; doubled each time
   * that the group proves faster than the messages.
   */
  readonly marginSteps?: number;
}

/** A message of a rank arrived. */
export interface MemberMessageReceived {
  readonly kind: "member_said";
  readonly now: number;
  readonly rank: number;
  readonly message: MemberMessage;
}

/** The connection to a rank was made anew; its process may be another. */
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

/** Everything that can happen to a decider. */
export type CoordinatorEvent =
  | MemberMessageReceived
  | MemberConnected
  | MapProposed
  | CoordinatorTick;

/** Say something to a rank. */
export interface SendToMember {
  readonly kind: "say";
  readonly rank: number;
  readonly message: CoordinatorMessage;
}

/** A switch was decided, one way or the other. */
export interface SwitchDecided {
  readonly kind: "switch_decided";
  readonly version: number;
  readonly isCommitted: boolean;
}

/** A proposal came while another was under way, and is not taken up. */
export interface ProposalDropped {
  readonly kind: "proposal_dropped";
}

/** Everything that a decider can ask for. */
export type CoordinatorEffect = SendToMember | SwitchDecided | ProposalDropped;

/** Every rank is asked what it has. @internal */
export interface Binding {
  readonly kind: "binding";
  readonly engines: Map<number, EngineState>;
}

/** No switch is under way. @internal */
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

/** The ranks promise to hold. @internal */
export interface Preparing {
  readonly kind: "preparing";
  readonly version: number;
  readonly map: ExpertMap;
  readonly assemble: number | undefined;
  readonly startedAt: number;
  readonly step: number;
  readonly prepared: Set<number>;
}

/** Where a decider stands. @internal */
export type Phase = Binding | Idle | Staging | Preparing;

/** What was decided upon a version. @internal */
export interface Decision {
  readonly version: number;
  /** Step of the switch; undefined when it was aborted. */
  readonly step: number | undefined;
}
