/**
 * Sends admitted requests to targets, retries them, queues them while no target is
 * available, and ends requests that get no answer.
 *
 * @module
 */
import type { AnswerTimes } from "../policy/answer_times.ts";
import type { SendLimits } from "../policy/send_limits.ts";
import type { Admission } from "./admission.ts";
import type { AttemptEnd, CrashWatch } from "./crash_watch.ts";
import {
  createAnsweredRecord,
  createAttemptFailedRecord,
  createSentRecord,
  createWaitsRecord,
} from "./decision_records.ts";
import type { DrainWatch } from "./drain_watch.ts";
import {
  createUnsentFailure,
  type Failure,
  SLOW_TARGET_FAILURE,
} from "./failures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { relayEnd } from "./answer_relay.ts";
import {
  createAnswerCounts,
  createCancelEffect,
  createFailureEffects,
  createWaitCount,
} from "./request_effects.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { createSubmitMessage } from "./submit_message.ts";
import type {
  NoTargetReason,
  TargetAvailability,
  Unavailability,
} from "./target_availability.ts";
import type { TargetRecord } from "./target_record.ts";
import type { SendRules } from "./send_rules.ts";
import type { Selection, TargetSelection } from "./target_selection.ts";
import type { EntryEffect } from "./types.ts";
import { UnservedRefusals } from "./unserved_refusals.ts";
import {
  INDIVIDUAL_REASONS,
  tryGetCommonQueue,
  WaitingRequests,
} from "./waiting_requests.ts";
import type { WarmUpWatch } from "./warm_up_watch.ts";

/** Options of a {@link RequestDispatcher}. */
export interface RequestDispatcherOptions {
  readonly selection: TargetSelection;
  readonly retries: RetryPolicy;
  readonly crashes: CrashWatch;
  readonly admission: Admission;
  readonly drains: DrainWatch;
  readonly warmUp: WarmUpWatch;
  readonly sendLimits: SendLimits;
  readonly sendRules: SendRules;
  /** How long answers usually take. */
  readonly answerTimes: AnswerTimes;
  /** Receives the effects, in order. */
  readonly effects: Pick<EntryEffect[], "push">;
}

/** Sends admitted requests to targets, and ends those that get no answer. */
export class RequestDispatcher {
  readonly #options: RequestDispatcherOptions;
  readonly #waiting: WaitingRequests;
  readonly #refusals: UnservedRefusals;
  readonly #inFlight = new Map<number, InFlightRequest>();

  /** Creates a dispatcher without requests. */
  constructor(options: RequestDispatcherOptions) {
    this.#options = options;
    this.#waiting = new WaitingRequests(options.answerTimes);
    this.#refusals = new UnservedRefusals(options);
  }

  /** Admitted requests that have not ended. */
  get inFlight(): readonly InFlightRequest[] {
    return [...this.#inFlight.values()];
  }

  /** Number of requests in flight. */
  get size(): number {
    return this.#inFlight.size;
  }

  /** Returns a request in flight by its id. */
  tryGet(requestId: number): InFlightRequest | undefined {
    return this.#inFlight.get(requestId);
  }

  /** Adds a request that was admitted. */
  add(inFlight: InFlightRequest, now: number): void {
    this.#inFlight.set(inFlight.request.id, inFlight);
    this.submitOrWait(inFlight, now);
  }

  /** Queues a new request if others that are as urgent wait for the same targets. */
  #tryQueueBehindBacklog(inFlight: InFlightRequest, now: number): boolean {
    const isNew = inFlight.attempt === 0 && !inFlight.isKeyed;
    if (!isNew || !this.#waiting.hasBacklogBefore(inFlight)) return false;
    return this.#tryWait(inFlight, { reason: "POOL_FULL" }, now);
  }

  #tryWait(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): boolean {
    if (!this.#waiting.tryAdd(inFlight, unavailability, now)) return false;
    const { reason } = unavailability;
    this.#options.effects.push(createWaitsRecord(inFlight, { reason, now }));
    return true;
  }

  /** Sends a request to a target, queues it until one is available, or refuses it. */
  submitOrWait(inFlight: InFlightRequest, now: number): void {
    if (this.#tryRefuse(inFlight, now)) return;
    if (this.#tryQueueBehindBacklog(inFlight, now)) return;
    const selected = this.#selection.select(inFlight, now);
    this.#options.effects.push(...this.#selection.gate.takeEffects());
    if (selected.isOk()) return this.#submit(inFlight, selected.value, now);
    const reason = selected.error;
    if (reason === "TARGETS_LIMITED" && !this.#tryPermit(inFlight, now)) return;
    const unavailability = this.#describe(inFlight, reason, now);
    if (this.#tryWait(inFlight, unavailability, now)) return;
    this.#failUnsent(inFlight, unavailability, now);
  }

  /** Refuses a request that must not be sent to any target. */
  #tryRefuse(inFlight: InFlightRequest, now: number): boolean {
    const failure = this.#options.sendRules.tryFindFailure(inFlight, now);
    if (failure === undefined) return false;
    this.fail(inFlight, failure, now);
    return true;
  }

  /** Sends the waiting requests for which a target is available, in queue order. */
  submitWaiting(now: number): void {
    const blockedQueues = new Map<string, Selection>();
    for (const inFlight of this.#waiting.all()) {
      if (this.#tryRefuse(inFlight, now)) continue;
      // Hundreds may wait for the same targets; what blocks one blocks those behind it.
      const queue = tryGetCommonQueue(inFlight);
      const selected = blockedQueues.get(queue ?? "") ??
        this.#selection.select(inFlight, now, { hasWaited: true });
      if (selected.isOk()) {
        this.#waiting.take(inFlight.request.id);
        this.#options.effects.push(createWaitCount(inFlight, "sent", now));
        this.#submit(inFlight, selected.value, now);
        continue;
      }
      const reason = selected.error;
      if (reason === "TARGETS_LIMITED") this.#tryPermit(inFlight, now);
      const unavailability = this.#describe(inFlight, reason, now);
      this.#waiting.updateReason(inFlight.request.id, unavailability, now);
      if (queue === undefined || INDIVIDUAL_REASONS.has(reason)) continue;
      blockedQueues.set(queue, selected);
    }
  }

  /**
   * Requests permits for a request and for those that already wait for one. Refuses the
   * request and returns false if no suitable target has a permit left.
   */
  #tryPermit(inFlight: InFlightRequest, now: number): boolean {
    const { effects } = this.#options;
    const count = 1 + this.#waiting.countOf("TARGETS_LIMITED");
    const plan = this.#selection.planPermits(inFlight, count, now);
    if (plan.kind === "ask") {
      effects.push({ kind: "ask_permits", permitRequest: plan.request });
    }
    if (plan.kind !== "none") return true;
    const failure = createUnsentFailure("TARGETS_LIMITED", inFlight.isKeyed);
    this.fail(inFlight, { ...failure, freeInMs: plan.freeInMs }, now);
    return false;
  }

  #submit(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    inFlight.startAttempt(target.name, now);
    this.#options.retries.recordSent(inFlight);
    this.#recordChoice(inFlight, target, now);
    target.addInFlight(inFlight.request.id, now);
    this.#selection.recordSent(inFlight, target, now);
    this.#options.effects.push({
      kind: "send",
      targetName: target.name,
      message: createSubmitMessage(inFlight, now),
    });
    const permitRequest = this.#availability.tryPlanAhead(inFlight.pool, now);
    if (permitRequest === undefined) return;
    this.#options.effects.push({ kind: "ask_permits", permitRequest });
  }

  #failUnsent(
    inFlight: InFlightRequest,
    unavailability: Unavailability,
    now: number,
  ): void {
    const failure = this.#refusals.createFailure(inFlight, unavailability, now);
    this.fail(inFlight, failure, now);
  }

  /** Retries after a failed attempt if that is safe, or queues or refuses the request. */
  onAttemptFailed(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): void {
    this.#removeFromTarget(inFlight);
    const retryUse = this.#options.retries.getUse(inFlight, now);
    this.#options.effects.push(
      createAttemptFailedRecord(inFlight, { ...failure, retryUse, now }),
    );
    const isBroken = failure.reason !== "DEADLINE";
    if (failure.submission === "unknown") {
      this.recordLostAttempt(inFlight, { now, isBroken });
    }
    inFlight.endAttempt(failure.submission);
    if (this.tryRetry(inFlight, failure, now)) return;
    if (this.#tryRequeue(inFlight, failure, now)) return;
    if (this.#tryRefuseBackingOff(inFlight, failure, now)) return;
    this.fail(inFlight, failure, now);
  }

  /** Records that the current attempt ended without an answer. */
  recordLostAttempt(inFlight: InFlightRequest, end: AttemptEnd): void {
    this.#options.effects.push(
      ...this.#options.crashes.recordLost(inFlight, end),
    );
  }

  /** Refuses a request with a retry delay if all targets of its pool back off. */
  #tryRefuseBackingOff(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    const isBackingOff = failure.submission === "not-run" &&
      this.#availability.isWholePoolBackingOff(inFlight.pool, now);
    if (!isBackingOff) return false;
    const reason = "TARGETS_BACKING_OFF";
    const unavailability = this.#describe(inFlight, reason, now);
    this.#failUnsent(inFlight, unavailability, now);
    return true;
  }

  /** Queues a request for targets that became unavailable, as if it had not been sent. */
  #tryRequeue(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    if (inFlight.isStreaming) return false;
    const reason = this.#availability.tryWaitReasonOf(
      inFlight,
      failure.reason,
      now,
    );
    if (reason === undefined) return false;
    if (!this.#waiting.mayWait(inFlight, { reason }, now)) return false;
    if (!this.#options.retries.tryTake(inFlight, failure, now)) return false;
    // The unreachable target may be the only one and may become reachable again.
    if (reason === "TARGETS_UNREACHABLE") inFlight.allowLastTargetAgain();
    return this.#tryWait(inFlight, { reason }, now);
  }

  /** Sends a request to another target; returns false if that is unsafe or futile. */
  tryRetry(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    // The entry does not retry a request that crashed its target, as it could crash a
    // second one. The caller may still retry.
    const hasCrashedTarget = failure.submission === "unknown" &&
      this.#options.crashes.hasCrashed(inFlight);
    const canRetry = !hasCrashedTarget &&
      this.#options.sendRules.endsInTime(inFlight, now) &&
      this.#availability.hasAlternative(inFlight, now) &&
      this.#options.retries.tryTake(inFlight, failure, now);
    if (!canRetry) return false;
    this.#removeFromTarget(inFlight);
    inFlight.endAttempt(failure.submission);
    this.#options.effects.push({ kind: "count_retry", reason: failure.reason });
    this.submitOrWait(inFlight, now);
    return true;
  }

  /**
   * Retries requests at slow ranks elsewhere, if another target is available. Each pass
   * of a group takes as long as at its slowest rank.
   */
  rerouteFromSlowRanks(now: number): void {
    for (const inFlight of this.inFlight) {
      const target = this.#selection.registry.tryGet(inFlight.targetName ?? "");
      if (target?.shouldMoveRequests !== true) continue;
      if (this.#selection.select(inFlight, now).isErr()) continue;
      const { attempt } = inFlight;
      if (!this.tryRetry(inFlight, SLOW_TARGET_FAILURE, now)) continue;
      this.#options.effects.push(
        createCancelEffect(inFlight, target.name, attempt),
      );
    }
  }

  /** Refuses waiting requests whose wait has expired. */
  refuseExpired(now: number): void {
    for (const { inFlight, reason } of this.#waiting.takeExpired(now)) {
      const unavailability = this.#describe(inFlight, reason, now);
      this.#failUnsent(inFlight, unavailability, now);
    }
  }

  #describe(
    inFlight: InFlightRequest,
    reason: NoTargetReason,
    now: number,
  ): Unavailability {
    return this.#availability.describeUnavailability(inFlight, reason, now);
  }

  #recordChoice(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    const serving = this.#selection.registry.servingOf(inFlight.pool).length;
    const limit = this.#options.sendLimits.tryGet(target.name);
    this.#options.warmUp.recordSent(target.name, inFlight.pool);
    const share = this.#availability.getShare(target, now);
    const retryUse = this.#options.retries.getUse(inFlight, now);
    const details = { target, now, serving, limit, share, retryUse };
    this.#options.effects.push(createSentRecord(inFlight, details));
  }

  /** Cancels the current attempt at its target. */
  cancel(inFlight: InFlightRequest): void {
    const { targetName, attempt } = inFlight;
    if (targetName === undefined) return;
    this.#options.effects.push(
      createCancelEffect(inFlight, targetName, attempt),
    );
  }

  /** Ends a request whose answer is complete. */
  finish(inFlight: InFlightRequest, now: number): void {
    this.#end(inFlight, now);
    const { effects } = this.#options;
    effects.push(createAnsweredRecord(inFlight, now));
    effects.push(...createAnswerCounts(inFlight));
    effects.push(...relayEnd(inFlight));
  }

  /** Ends a request with a refusal, or with the error answer of an earlier attempt. */
  fail(inFlight: InFlightRequest, failure: Failure, now: number): void {
    if (inFlight.tryRestoreFallbackAnswer()) return this.finish(inFlight, now);
    this.#end(inFlight, now);
    const retryDelayMs = this.#refusals.tryGetDelayMs(inFlight, failure, now);
    this.#options.effects.push(
      ...createFailureEffects(inFlight, failure, { now, retryDelayMs }),
    );
  }

  /** Ends a request whose caller has disconnected. */
  drop(inFlight: InFlightRequest, now: number): void {
    this.#end(inFlight, now);
  }

  #end(inFlight: InFlightRequest, now: number): void {
    this.#removeFromTarget(inFlight);
    this.#options.retries.recordEnded(inFlight, now);
    this.#waiting.remove(inFlight.request.id);
    this.#inFlight.delete(inFlight.request.id);
    this.#options.admission.release(inFlight.route);
  }

  #removeFromTarget(inFlight: InFlightRequest): void {
    if (inFlight.targetName === undefined) return;
    this.#selection.registry.tryGet(inFlight.targetName)
      ?.removeInFlight(inFlight.request.id);
  }

  get #selection(): TargetSelection {
    return this.#options.selection;
  }

  get #availability(): TargetAvailability {
    return this.#selection.availability;
  }
}
