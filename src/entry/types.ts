/**
 * The events and effects of the entry role.
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
  GroupObservationMessage,
} from "../messages/formed_group_types.ts";
import type { GroupSettings } from "../external/operator_settings.ts";
import type { CrashedRequest } from "../policy/crash_history.ts";
import type { SocketAddress } from "../messages/socket_address.ts";
import type { PermitOutcome, PermitRequest } from "../policy/send_permits.ts";
import type { LeavingTarget } from "../policy/leaving_targets.ts";
import type { TargetLimit } from "../policy/target_limits.ts";
import type { ColdPools } from "../policy/warm_up_limits.ts";
import type { PoolRetryLimits } from "../policy/pool_retry_budgets.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { ShutdownEvent } from "./shutdown_events.ts";
import type { ProblemDetails } from "../refusals/types.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import type { EventName } from "../events/catalogue.ts";
import type { EventDetails } from "../events/event_log.ts";
import type { RoutingTable } from "./routing_table.ts";

/** A caller's request, with its complete body. */
export interface CallerRequest {
  readonly id: number;
  readonly method: string;
  /** Path and query string, exactly as the caller sent them. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Deadline that the caller requested, in milliseconds. */
  readonly deadlineMs?: number;
  /** `Host` header without the port. */
  readonly host?: string;
  /** SHA-256 of the caller's access key, in hexadecimal. */
  readonly accessKeySha256?: string;
  /** Identifier that the caller assigned to this request; appears in the log. */
  readonly correlationId?: string;
  readonly idempotencyKey?: string;
  readonly priority?: Priority;
  /** Hashes of the first blocks of the prompt, for prefix affinity. */
  readonly prefixBlocks?: readonly string[];
  /** Identifiers of the parts of the prompt that other requests share. */
  readonly promptParts?: readonly string[];
}

/** Identity that a target reports when the entry connects to it. */
export interface TargetIdentity {
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly pool: string;
  readonly concurrency: number;
}

/** A caller's request was received completely. */
export interface RequestArrived {
  readonly kind: "request_arrived";
  readonly now: number;
  /** When the head was read; the deadline counts from here. Defaults to `now`. */
  readonly readAt?: number;
  readonly request: CallerRequest;
}

/** The caller closed its connection. */
export interface CallerGone {
  readonly kind: "caller_gone";
  readonly now: number;
  readonly requestId: number;
}

/** The unsent bytes of the caller's connection exceed their limit. */
export interface CallerTooSlow {
  readonly kind: "caller_too_slow";
  readonly now: number;
  readonly requestId: number;
}

/** The connection to a target was established. */
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

/** A message from a target arrived. */
export interface TargetMessageReceived {
  readonly kind: "message_received";
  readonly now: number;
  readonly targetName: string;
  readonly message: Message;
}

/** The platform's list of VMs was read. */
export interface VirtualMachinesListed {
  readonly kind: "machines_listed";
  readonly now: number;
  readonly virtualMachines: readonly VirtualMachine[];
}

/** New settings took effect. */
export interface SettingsInForce {
  readonly kind: "settings_in_force";
  readonly now: number;
  readonly routes: RoutingTable;
  /** Targets that operators have marked as leaving; they receive no new requests. */
  readonly leavingTargets?: ReadonlySet<string>;
  /** Services that changed since the previous event; undefined: any may have changed. */
  readonly changed?: readonly string[];
  /** Pools whose targets can be cold. Defaults to none. */
  readonly coldPools?: ColdPools;
  /** Settings of rank groups, by the pool that they serve; undefined: unchanged. */
  readonly groups?: ReadonlyMap<string, GroupSettings>;
}

/** The old scripts answered a request or failed to. */
export interface ScriptsFinished {
  readonly kind: "scripts_finished";
  readonly now: number;
  readonly requestId: number;
}

/** The back ends that the entry calls directly, without a target process, were listed. */
export interface InstancesListed {
  readonly kind: "instances_listed";
  readonly now: number;
  readonly instances: readonly BackEndInstance[];
  /** When the list was requested, in milliseconds, if known. */
  readonly requestedAt?: number;
}

/** The entries that share limits, including this one, were listed. */
export interface EntriesListed {
  readonly kind: "entries_listed";
  readonly now: number;
  /** Names of the entries. */
  readonly entries: readonly string[];
}

/** The decider of a group reported the load of its ranks. */
export interface GroupLoadReceived {
  readonly kind: "group_load_told";
  readonly now: number;
  readonly load: GroupLoad;
}

/** A rank of a group, as its sidecar registered it. */
export interface ListedRank {
  /** Host and port at which the rank accepts requests. */
  readonly engineAddress: string;
  readonly group: string;
}

/** Sets the failure domains that operators are draining; all others are not drained. */
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

/** A rank's sidecar reported whether its group is running. */
export interface GroupObserved {
  readonly kind: "group_seen";
  readonly now: number;
  readonly observation: GroupObservationMessage;
}

/** The limits on the retries of all entries together changed. */
export interface PoolRetriesLimited {
  readonly kind: "pool_retries_limited";
  readonly limits: PoolRetryLimits;
}

/** Another entry reported requests under which targets have crashed. */
export interface CrashesReceived {
  readonly kind: "crashes_told";
  readonly now: number;
  readonly requests: readonly CrashedRequest[];
}

/** Another entry reported the limits that targets announced. */
export interface LimitsReceived {
  readonly kind: "limits_told";
  readonly now: number;
  readonly limits: readonly TargetLimit[];
}

/** Another entry reported targets that are leaving. */
export interface LeavingTargetsReceived {
  readonly kind: "leaving_told";
  readonly now: number;
  readonly targets: readonly LeavingTarget[];
}

/** A permit request to another entry was answered or failed. */
export interface PermitOutcomeReceived {
  readonly kind: "permits_told";
  readonly now: number;
  readonly outcome: PermitOutcome;
}

/** The periodic timer fired. */
export interface EntryTick {
  readonly kind: "tick";
  readonly now: number;
}

/** Every event that an entry handles. */
export type EntryEvent =
  | RequestArrived
  | CallerGone
  | CallerTooSlow
  | TargetConnected
  | TargetDisconnected
  | TargetMessageReceived
  | VirtualMachinesListed
  | SettingsInForce
  | ScriptsFinished
  | InstancesListed
  | EntriesListed
  | FailureDomainsDrained
  | GroupLoadReceived
  | RanksListed
  | GroupObserved
  | CrashesReceived
  | LimitsReceived
  | LeavingTargetsReceived
  | PermitOutcomeReceived
  | PoolRetriesLimited
  | EntryTick
  | ShutdownEvent;

/** Sends a message to a target. */
export interface SendToTarget {
  readonly kind: "send";
  readonly targetName: string;
  readonly message: SubmitMessage | CancelMessage;
}

/** Forwards a request unchanged to the old scripts. */
export interface ForwardToScripts {
  readonly kind: "forward_to_scripts";
  readonly address: SocketAddress;
  readonly deadlineMs: number;
  readonly request: CallerRequest;
}

/** Starts a streamed answer. */
export interface StartAnswer {
  readonly kind: "start_answer";
  readonly requestId: number;
  readonly status: number;
  readonly headers: readonly Header[];
}

/** Sends a chunk of a streamed answer. */
export interface ContinueAnswer {
  readonly kind: "continue_answer";
  readonly requestId: number;
  readonly bytes: Uint8Array;
}

/** Ends a streamed answer that is complete. */
export interface FinishAnswer {
  readonly kind: "finish_answer";
  readonly requestId: number;
}

/** Sends a complete answer. */
export interface WholeAnswer {
  readonly kind: "whole_answer";
  readonly requestId: number;
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: readonly Uint8Array[];
}

/** Aborts a streamed answer, so that the caller can tell that it is incomplete. */
export interface CutAnswer {
  readonly kind: "cut_answer";
  readonly requestId: number;
}

/** Sends a problem document instead of an answer. */
export interface RefuseRequest {
  readonly kind: "refuse_request";
  readonly requestId: number;
  readonly problem: ProblemDetails;
}

/** Counts a refusal. */
export interface CountRefusal {
  readonly kind: "count_refusal";
  readonly reason: RefusalName;
}

/** Counts a retry. */
export interface CountRetry {
  readonly kind: "count_retry";
  readonly reason: RefusalName;
}

/** Counts a request that is deferred because its rank group is near its capacity. */
export interface CountDeferredRequest {
  readonly kind: "count_held_back";
  readonly priority: Priority;
}

/** Counts a message that belongs to no current attempt. */
export interface CountStaleMessage {
  readonly kind: "count_stale_message";
}

/** How the time ended for which a request was at an entry only. */
export type WaitOutcome = "sent" | "refused";

/** Counts how long a request was at this entry: until it was sent after a wait, or refused. */
export interface CountWait {
  readonly kind: "count_wait";
  readonly outcome: WaitOutcome;
  readonly milliseconds: number;
}

/** Counts the longest pause of an answer. */
export interface CountAnswerPause {
  readonly kind: "count_pause";
  readonly milliseconds: number;
}

/** Reports that state which is replicated to other entries has changed. */
export interface ReplicatedStateChanged {
  readonly kind: "memories_changed";
}

/** Requests permits from another entry; {@link PermitOutcomeReceived} has the outcome. */
export interface RequestPermits {
  readonly kind: "ask_permits";
  readonly permitRequest: PermitRequest;
}

/** Logs a decision about a request or a target. */
export interface LogDecision {
  readonly kind: "log_decision";
  readonly name: EventName;
  readonly details: EventDetails;
}

/** Reports that no requests are in flight and that no new ones are accepted. */
export interface EntryDrained {
  readonly kind: "drained";
}

/** Every effect that the entry's reducer can return. */
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
  | CountDeferredRequest
  | CountStaleMessage
  | CountWait
  | CountAnswerPause
  | ReplicatedStateChanged
  | RequestPermits
  | LogDecision
  | EntryDrained;
