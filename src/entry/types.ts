/**
 * The vocabulary of the entry role: its events and effects.
 *
 * @module
 */
import type {
  CancelMessage,
  Header,
  Message,
  SubmitMessage,
} from "../messages/types.ts";
import type { Priority } from "../messages/priority.ts";
import type { VirtualMachine } from "../external/virtual_machine_list.ts";
import type {
  GroupLoad,
  GroupSightMessage,
} from "../messages/formed_group_types.ts";
import type { GroupSettings } from "../external/operator_settings.ts";
import type { CrashedRequest } from "../policy/crash_history.ts";
import type { PermitOutcome, PermitQuestion } from "../policy/send_permits.ts";
import type { LeavingTarget } from "../policy/leaving_targets.ts";
import type { TargetLimit } from "../policy/target_limits.ts";
import type { ColdPools } from "../policy/warm_up_limits.ts";
import type { PoolRetryLimits } from "../policy/pool_retry_budgets.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { ProblemDetails } from "../refusals/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { EventName } from "../events/catalogue.ts";
import type { EventDetails } from "../events/event_log.ts";
import type { RoutingTable } from "./routing_table.ts";

/** A caller's request, with its whole body. */
export interface CallerRequest {
  readonly id: number;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Milliseconds that the caller gives, if it does. */
  readonly deadlineMs?: number;
  /** Host that the caller named, without port. */
  readonly host?: string;
  /** SHA-256 of the access key, in hexadecimal, if the caller gave one. */
  readonly accessKeySha256?: string;
  /** The caller's own name for this request; also in the log. */
  readonly correlationId?: string;
  readonly idempotencyKey?: string;
  readonly priority?: Priority;
  /** Hashes of the prompt's first blocks, for prefix affinity. */
  readonly prefixBlocks?: readonly string[];
}

/** What a target says of itself when it is connected to. */
export interface TargetIdentity {
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly pool: string;
  readonly concurrency: number;
}

/** A caller's request has arrived whole. */
export interface RequestArrived {
  readonly kind: "request_arrived";
  readonly now: number;
  /** When its head was read, from which its deadline runs; `now` unless given. */
  readonly readAt?: number;
  readonly request: CallerRequest;
}

/** The caller closed its connection. */
export interface CallerGone {
  readonly kind: "caller_gone";
  readonly now: number;
  readonly requestId: number;
}

/** The caller's connection holds more unsent bytes than it may. */
export interface CallerTooSlow {
  readonly kind: "caller_too_slow";
  readonly now: number;
  readonly requestId: number;
}

/** A target was connected to. */
export interface TargetConnected {
  readonly kind: "target_connected";
  readonly now: number;
  readonly target: TargetIdentity;
}

/** The connection to a target was lost. */
export interface TargetDisconnected {
  readonly kind: "target_disconnected";
  readonly now: number;
  readonly targetName: string;
}

/** A message of a target arrived. */
export interface TargetMessageReceived {
  readonly kind: "message_received";
  readonly now: number;
  readonly targetName: string;
  readonly message: Message;
}

/** The platform's list of machines was read. */
export interface MachinesListed {
  readonly kind: "machines_listed";
  readonly now: number;
  readonly machines: readonly VirtualMachine[];
}

/** New settings are in force. */
export interface SettingsInForce {
  readonly kind: "settings_in_force";
  readonly now: number;
  readonly routes: RoutingTable;
  /** Targets that take no new work by the operators' word. */
  readonly leavingTargets?: ReadonlySet<string>;
  /** Services that changed since the last time; undefined: any may have. */
  readonly changed?: readonly string[];
  /** Pools whose targets can be cold; none unless given. */
  readonly coldPools?: ColdPools;
  /** Settings of rank groups, by the pool that they serve; undefined: as before. */
  readonly groups?: ReadonlyMap<string, GroupSettings>;
}

/** The old scripts answered, or failed to. */
export interface ScriptsFinished {
  readonly kind: "scripts_finished";
  readonly now: number;
  readonly requestId: number;
}

/** The back ends that are called without a target process, as listed. */
export interface InstancesListed {
  readonly kind: "instances_listed";
  readonly now: number;
  readonly instances: readonly BackEndInstance[];
  /** When the list was asked for, in milliseconds, if that is known. */
  readonly askedAt?: number;
}

/** The entries that share limits were listed, this one included. */
export interface EntriesListed {
  readonly kind: "entries_listed";
  readonly now: number;
  /** Their names. */
  readonly entries: readonly string[];
}

/** A group's decider told how its ranks stand. */
export interface GroupLoadTold {
  readonly kind: "group_load_told";
  readonly now: number;
  readonly load: GroupLoad;
}

/** A rank of a group, as its process listed itself. */
export interface ListedRank {
  /** Host and port at which the rank takes requests. */
  readonly engineAddress: string;
  readonly group: string;
}

/** Operators drain these failure domains, and no others. */
export interface FailureDomainsDrained {
  readonly kind: "failure_domains_drained";
  readonly now: number;
  readonly failureDomains: readonly string[];
}

/** The ranks of groups were listed. */
export interface RanksListed {
  readonly kind: "ranks_listed";
  readonly ranks: readonly ListedRank[];
}

/** A rank's process told whether its group runs. */
export interface GroupSeen {
  readonly kind: "group_seen";
  readonly now: number;
  readonly sight: GroupSightMessage;
}

/** The limits on the retries of all entries together have changed. */
export interface PoolRetriesLimited {
  readonly kind: "pool_retries_limited";
  readonly limits: PoolRetryLimits;
}

/** Another entry told under which requests targets have ended. */
export interface CrashesTold {
  readonly kind: "crashes_told";
  readonly now: number;
  readonly requests: readonly CrashedRequest[];
}

/** Another entry told which limits targets name. */
export interface LimitsTold {
  readonly kind: "limits_told";
  readonly now: number;
  readonly limits: readonly TargetLimit[];
}

/** Another entry told which targets it knows to leave. */
export interface LeavingTold {
  readonly kind: "leaving_told";
  readonly now: number;
  readonly targets: readonly LeavingTarget[];
}

/** An entry that was asked for permits answered, or did not. */
export interface PermitsTold {
  readonly kind: "permits_told";
  readonly now: number;
  readonly outcome: PermitOutcome;
}

/** Time passed. */
export interface EntryTick {
  readonly kind: "tick";
  readonly now: number;
}

/** The process was told to end. */
export interface EntryDrainRequested {
  readonly kind: "drain_requested";
  readonly now: number;
}

/** Everything that can happen to an entry. */
export type EntryEvent =
  | RequestArrived
  | CallerGone
  | CallerTooSlow
  | TargetConnected
  | TargetDisconnected
  | TargetMessageReceived
  | MachinesListed
  | SettingsInForce
  | ScriptsFinished
  | InstancesListed
  | EntriesListed
  | FailureDomainsDrained
  | GroupLoadTold
  | RanksListed
  | GroupSeen
  | CrashesTold
  | LimitsTold
  | LeavingTold
  | PermitsTold
  | PoolRetriesLimited
  | EntryTick
  | EntryDrainRequested;

/** Send a message to a target. */
export interface SendToTarget {
  readonly kind: "send";
  readonly targetName: string;
  readonly message: SubmitMessage | CancelMessage;
}

/** Pass a request unchanged to the old scripts. */
export interface ForwardToScripts {
  readonly kind: "forward_to_scripts";
  readonly address: string;
  readonly deadlineMs: number;
  readonly request: CallerRequest;
}

/** Start a streamed answer. */
export interface StartAnswer {
  readonly kind: "start_answer";
  readonly requestId: number;
  readonly status: number;
  readonly headers: readonly Header[];
  /** The caller is to see the end of the connection as the end of the answer. */
  readonly endsWithConnection?: boolean;
}

/** Send a piece of a streamed answer. */
export interface ContinueAnswer {
  readonly kind: "continue_answer";
  readonly requestId: number;
  readonly bytes: Uint8Array;
}

/** The streamed answer is whole. */
export interface FinishAnswer {
  readonly kind: "finish_answer";
  readonly requestId: number;
}

/** Send a whole answer. */
export interface WholeAnswer {
  readonly kind: "whole_answer";
  readonly requestId: number;
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: readonly Uint8Array[];
}

/** Break a streamed answer so that the caller sees it as broken. */
export interface CutAnswer {
  readonly kind: "cut_answer";
  readonly requestId: number;
}

/** Send a problem document in place of an answer. */
export interface RefuseRequest {
  readonly kind: "refuse_request";
  readonly requestId: number;
  readonly problem: ProblemDetails;
}

/** Count a refusal. */
export interface CountRefusal {
  readonly kind: "count_refusal";
  readonly reason: RefusalName;
}

/** Count a retry. */
export interface CountRetry {
  readonly kind: "count_retry";
  readonly reason: RefusalName;
}

/** Count a request that is held back from a rank group near its capacity. */
export interface CountHeldBack {
  readonly kind: "count_held_back";
  readonly priority: Priority;
}

/** Count a message that belongs to no attempt under way. */
export interface CountStale {
  readonly kind: "count_stale_message";
}

/** What became of a caller that was told when to return. */
export type ReturnOutcome = "told" | "served" | "refused";

/** Count a caller that is told when to return, or one that returned. */
export interface CountReturn {
  readonly kind: "count_return";
  readonly outcome: ReturnOutcome;
}

/** Count the longest pause of an answer. */
export interface CountPause {
  readonly kind: "count_pause";
  readonly milliseconds: number;
}

/** What is remembered and told to other entries has changed. */
export interface MemoriesChanged {
  readonly kind: "memories_changed";
}

/** Ask another entry for permits; the outcome comes back as {@link PermitsTold}. */
export interface AskPermits {
  readonly kind: "ask_permits";
  readonly question: PermitQuestion;
}

/** A decision that touches a request, for the log. */
export interface LogDecision {
  readonly kind: "log_decision";
  readonly name: EventName;
  readonly details: EventDetails;
}

/** Nothing is in flight any more and nothing will be taken. */
export interface EntryDrained {
  readonly kind: "drained";
}

/** Everything that an entry's reducer can ask for. */
export type EntryEffect =
  | SendToTarget
  | ForwardToScripts
  | StartAnswer
  | ContinueAnswer
  | FinishAnswer
  | WholeAnswer
  | CutAnswer
  | RefuseRequest
  | CountRefusal
  | CountRetry
  | CountHeldBack
  | CountStale
  | CountReturn
  | CountPause
  | MemoriesChanged
  | AskPermits
  | LogDecision
  | EntryDrained;
