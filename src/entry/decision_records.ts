/**
 * Creates log records for decisions on requests and targets, with the inputs of each
 * decision, how old they were, and the outcome.
 *
 * @module
 */
import type { GroupObservationMessage } from "../messages/formed_group_types.ts";
import type { SendLimit } from "../policy/send_limits.ts";
import type { RefusedPart } from "../policy/poison_parts.ts";
import type { PoolRetryUse } from "../policy/pool_retry_budgets.ts";
import type { GroupUtilization } from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { DrainDetails } from "./drain_watch.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { RecordedCrash } from "./lost_attempt.ts";
import type { TargetRecord } from "./target_record.ts";
import type { CallerRequest, LogDecision } from "./types.ts";

/** Decimal places of logged fractions. */
const SHARE_DECIMALS = 2;

/** The inputs of the choice of a target. */
export interface SentDetails {
  readonly target: TargetRecord;
  readonly now: number;
  /** Number of targets of the pool that accepted new requests. */
  readonly serving: number;
  /** Fraction of requests for which the target is a candidate, from 0 to 1. */
  readonly share: number;
  /** Rate limit of the target over all entries, if it has one. */
  readonly limit: SendLimit | undefined;
  /** What the retry budget of the pool has counted. */
  readonly retryUse: PoolRetryUse;
}

/** How a request ended without an answer. */
export interface FailureDetails {
  readonly reason: RefusalName;
  readonly submission: Outcome;
  readonly now: number;
  /** Retry delay that the caller was given, in milliseconds from now. */
  readonly retryDelayMs?: number;
  /** The drains that caused the failure. */
  readonly drains?: DrainDetails;
  /** The part of the prompt for which the request was refused. */
  readonly partId?: string;
  /** Load and capacity of the rank group for which the request was deferred. */
  readonly utilization?: GroupUtilization;
}

/**
 * Creates the record that a request is sent to a target, as a first attempt or a retry.
 */
export function createSentRecord(
  inFlight: InFlightRequest,
  details: SentDetails,
): LogDecision {
  const { target, now, serving, limit, share, retryUse } = details;
  return {
    kind: "log_decision",
    name: "REQUEST_SENT",
    details: {
      ...identityOf(inFlight.request),
      attempt: inFlight.attempt,
      target: target.name,
      pool: inFlight.pool,
      ownInFlight: target.ownInFlight,
      reportedLoad: target.reportedLoad,
      reportAgeMs: target.reportedAt === 0
        ? undefined
        : Math.round(now - target.reportedAt),
      failureShare: Number(target.failureShare.toFixed(SHARE_DECIMALS)),
      serving,
      returningShare: share < 1
        ? Number(share.toFixed(SHARE_DECIMALS))
        : undefined,
      perSecond: limit?.perSecond,
      isCold: limit?.isWarmUp === true ? true : undefined,
      resumedAfter: inFlight.cursor?.lastEventId,
      ...inFlight.attempt > 1 ? describeRetryUse(retryUse) : {},
      leftMs: Math.round(inFlight.deadlineAt - now),
    },
  };
}

/** Creates the record that a request waits because no target is available now. */
export function createWaitsRecord(
  inFlight: InFlightRequest,
  details: { readonly reason: RefusalName; readonly now: number },
): LogDecision {
  return {
    kind: "log_decision",
    name: "REQUEST_WAITS",
    details: {
      ...identityOf(inFlight.request),
      pool: inFlight.pool,
      reason: details.reason,
      leftMs: Math.round(inFlight.deadlineAt - details.now),
    },
  };
}

/**
 * Creates the record that an attempt failed. The next record of the request shows whether
 * another attempt follows.
 */
export function createAttemptFailedRecord(
  inFlight: InFlightRequest,
  details: FailureDetails & Pick<SentDetails, "retryUse">,
): LogDecision {
  return {
    kind: "log_decision",
    name: "ATTEMPT_FAILED",
    details: {
      ...identityOf(inFlight.request),
      attempt: inFlight.attempt,
      target: inFlight.targetName,
      reason: details.reason,
      submission: details.submission,
      // Only a request that may have run can have crashed the target.
      digest: details.submission === "unknown" ? inFlight.digest : undefined,
      promptParts: details.submission === "unknown"
        ? inFlight.request.promptParts?.join()
        : undefined,
      hasSentEvents: inFlight.isStreaming,
      ...describeRetryUse(details.retryUse),
      leftMs: Math.round(inFlight.deadlineAt - details.now),
    },
  };
}

/** Creates the record that the known state of a rank group has changed. */
export function createGroupObservedRecord(
  observation: GroupObservationDetails,
  source: "decider" | "rank" | "attempt",
): LogDecision {
  return {
    kind: "log_decision",
    name: "GROUP_SEEN",
    details: {
      group: observation.group,
      isOpen: observation.isOpen,
      ageMs: Math.round(observation.ageMs),
      lostPeer: observation.lostPeer,
      source,
    },
  };
}

/** The observed state of a group, and the id of its lost rank if one was reported. */
type GroupObservationDetails =
  & Pick<GroupObservationMessage, "group" | "isOpen" | "ageMs">
  & {
    readonly lostPeer?: string;
  };

/** Creates the record that a target is gone without having announced that it leaves. */
export function createTargetEndedRecord(target: TargetRecord): LogDecision {
  return {
    kind: "log_decision",
    name: "TARGET_ENDED",
    details: {
      target: target.name,
      pool: target.identity.pool,
      group: target.group?.name,
      ownInFlight: target.ownInFlight,
    },
  };
}

/** Creates the record that a failure domain became unreachable, or is reachable again. */
export function createReachabilityRecord(
  { failureDomain, name }: TargetRecord,
  isReached: boolean,
): LogDecision {
  return {
    kind: "log_decision",
    name: isReached ? "DOMAIN_REACHED" : "DOMAIN_UNREACHABLE",
    details: { failureDomain, target: name },
  };
}

/** Creates the record that a target crashed while it ran a request. */
export function createCrashRecord(crash: RecordedCrash): LogDecision {
  const { digest, target, organisation, path, sentAt, endedAt } = crash;
  return {
    kind: "log_decision",
    name: "TARGET_CRASHED",
    details: {
      digest,
      target,
      organisation,
      path,
      ranMs: Math.round(endedAt - sentAt),
      refusedMs: Math.round(crash.refusedMs),
    },
  };
}

/** Creates the record that prompts with a part are refused from now on. */
export function createPartRefusedRecord(part: RefusedPart): LogDecision {
  return {
    kind: "log_decision",
    name: "PROMPT_PART_REFUSED",
    details: {
      part: part.id,
      targets: part.targets.join(),
      refusedMs: Math.round(part.remainingMs),
    },
  };
}

/** Creates the record that prompts with a part are no longer refused. */
export function createPartAllowedRecord(partId: string): LogDecision {
  return {
    kind: "log_decision",
    name: "PROMPT_PART_ALLOWED",
    details: { part: partId },
  };
}

/** Creates the record that the caller closed its connection. */
export function createCallerLeftRecord(inFlight: InFlightRequest): LogDecision {
  return {
    kind: "log_decision",
    name: "CALLER_LEFT",
    details: {
      ...identityOf(inFlight.request),
      attempt: inFlight.attempt,
      target: inFlight.targetName,
    },
  };
}

/** Creates the record that the caller received a whole answer. */
export function createAnsweredRecord(
  inFlight: InFlightRequest,
  now: number,
): LogDecision {
  return {
    kind: "log_decision",
    name: "REQUEST_ANSWERED",
    details: {
      ...identityOf(inFlight.request),
      attempt: inFlight.attempt,
      target: inFlight.targetName,
      status: inFlight.head?.status,
      longestPauseMs: inFlight.longestPause &&
        Math.round(inFlight.longestPause.milliseconds),
      pauseEndedMsAgo: inFlight.longestPause &&
        Math.round(now - inFlight.longestPause.endedAt),
      leftMs: Math.round(inFlight.deadlineAt - now),
    },
  };
}

/**
 * Creates the record that the caller received a refusal, or an answer that was cut off.
 */
export function createFailedRecord(
  inFlight: InFlightRequest,
  details: FailureDetails,
): LogDecision {
  return {
    kind: "log_decision",
    name: inFlight.isStreaming ? "ANSWER_CUT" : "REQUEST_REFUSED",
    details: {
      ...identityOf(inFlight.request),
      attempt: inFlight.attempt,
      target: inFlight.targetName,
      pool: inFlight.pool,
      reason: details.reason,
      submission: details.submission,
      mayHaveRun: inFlight.mayHaveRun,
      digest: details.reason === "CRASHES_TARGETS"
        ? inFlight.digest
        : undefined,
      part: details.partId,
      ...details.drains,
      returnMs: details.retryDelayMs && Math.round(details.retryDelayMs),
      load: details.utilization?.load,
      capacity: details.utilization && Math.round(details.utilization.capacity),
      reportAgeMs: details.utilization && Math.round(details.utilization.ageMs),
      leftMs: Math.round(inFlight.deadlineAt - details.now),
    },
  };
}

/** Creates the record that a request was refused before a target was selected. */
export function createNotAdmittedRecord(
  request: CallerRequest,
  reason: RefusalName,
): LogDecision {
  return {
    kind: "log_decision",
    name: "REQUEST_REFUSED",
    details: {
      ...identityOf(request),
      reason,
      submission: "not-run",
      host: request.host,
      path: request.path,
    },
  };
}

function describeRetryUse(use: PoolRetryUse) {
  return {
    windowRequests: use.requests,
    windowRetries: use.retries,
    entries: use.entries,
    entriesAgeMs: use.entriesAgeMs && Math.round(use.entriesAgeMs),
  };
}

function identityOf(request: CallerRequest) {
  return { request: request.id, correlation: request.correlationId };
}
