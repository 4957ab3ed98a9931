/**
 * Sends requests to targets: for the first time, again, and after a wait; and ends those
 * that get no answer.
 *
 * @module
 */
import type { PermitQuestion } from "../policy/send_permits.ts";
import type { SendLimits } from "../policy/send_limits.ts";
import type { Admission } from "./admission.ts";
import type { AttemptEnd, CrashWatch } from "./crash_watch.ts";
import {
  createAnsweredNote,
  createAttemptFailedNote,
  createSentNote,
  createWaitsNote,
} from "./decision_notes.ts";
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
} from "./request_effects.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { createSubmitMessage } from "./submit_message.ts";
import type {
  TargetAvailability,
  Unavailability,
} from "./target_availability.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetSelection } from "./target_selection.ts";
import type { EntryEffect } from "./types.ts";
import { WaitingRequests } from "./waiting_requests.ts";
import type { WarmUpWatch } from "./warm_up_watch.ts";

/** What a {@link RequestDispatcher} works with. */
export interface RequestDispatcherOptions {
  readonly selection: TargetSelection;
  readonly retries: RetryPolicy;
  readonly crashes: CrashWatch;
  readonly admission: Admission;
  readonly drains: DrainWatch;
  readonly warmUp: WarmUpWatch;
  readonly sendLimits: SendLimits;
  /** Takes what is to be done, in order. */
  readonly effects: Pick<EntryEffect[], "push">;
}

/** A request that is sent nowhere, as targets have ended under it. */
interface CrashingRequest {
  readonly reason: "CRASHES_TARGETS";
}

/** Sends requests to targets, and ends those that get no answer. */
export class RequestDispatcher {
  readonly #options: RequestDispatcherOptions;
  readonly #waiting = new WaitingRequests();
  readonly #inFlight = new Map<number, InFlightRequest>();

  /** Nothing is in flight yet. */
  constructor(options: RequestDispatcherOptions) {
    this.#options = options;
  }

  /** Requests that were let in and are not over. */
  get inFlight(): readonly InFlightRequest[] {
    return [...this.#inFlight.values()];
  }

  /** How many there are. */
  get size(): number {
    return this.#inFlight.size;
  }

  /** A request that is not over. */
  tryGet(requestId: number): InFlightRequest | undefined {
    return this.#inFlight.get(requestId);
  }

  /** A request was let in. */
  add(inFlight: InFlightRequest, now: number): void {
    this.#inFlight.set(inFlight.request.id, inFlight);
    this.submitOrWait(inFlight, now);
  }

  /** Sends a request to a target, lets it wait for one, or refuses it. */
  submitOrWait(inFlight: InFlightRequest, now: number): void {
    if (this.#tryRefuseCrashing(inFlight, now)) return;
    const selected = this.#selection.select(inFlight, now);
    this.#options.effects.push(...this.#selection.gate.takeNotes());
    if (selected.isOk()) return this.#submit(inFlight, selected.value, now);
    const reason = selected.error;
    if (
      reason === "TARGETS_LIMITED" && !this.#tryPermit(inFlight, now)
    ) return;
    const unavailability = this.#availability.describe(inFlight, reason, now);
    if (this.#waiting.tryAdd(inFlight, unavailability, now)) {
      this.#options.effects.push(createWaitsNote(inFlight, { reason, now }));
      return;
    }
    this.#failUnsent(inFlight, unavailability, now);
  }

  /**
   * A request under which targets have ended would end the next one, too, and cost all
   * others that run there, or in its group, their answers.
   */
  #tryRefuseCrashing(inFlight: InFlightRequest, now: number): boolean {
    if (this.#options.crashes.mayRun(inFlight, now)) return false;
    this.#failUnsent(inFlight, { reason: "CRASHES_TARGETS" }, now);
    return true;
  }

  /** Tries again for those that wait, in the order in which they are due. */
  submitWaiting(now: number): void {
    for (const inFlight of this.#waiting.all(now)) {
      if (this.#tryRefuseCrashing(inFlight, now)) continue;
      const { id } = inFlight.request;
      const selected = this.#selection.select(inFlight, now, {
        hasWaited: true,
      });
      if (selected.isErr()) {
        const reason = selected.error;
        if (reason === "TARGETS_LIMITED") this.#tryPermit(inFlight, now);
        const why = this.#availability.describe(inFlight, reason, now);
        this.#waiting.updateReason(id, why, now);
        continue;
      }
      this.#waiting.take(id);
      this.#submit(inFlight, selected.value, now);
    }
  }

  /**
   * Asks for a permit, for it and those that wait for one; refuses it where no target that
   * could serve it has any now.
   */
  #tryPermit(inFlight: InFlightRequest, now: number): boolean {
    const count = 1 + this.#waiting.countOf("TARGETS_LIMITED");
    const plan = this.#selection.planPermits(inFlight, count, now);
    if (plan.kind === "ask") this.#requestPermits(plan.question);
    if (plan.kind !== "none") return true;
    const isKeyed = inFlight.request.idempotencyKey !== undefined;
    const failure = createUnsentFailure("TARGETS_LIMITED", isKeyed);
    this.fail(inFlight, { ...failure, freeInMs: plan.freeInMs }, now);
    return false;
  }

  #requestPermits(question: PermitQuestion): void {
    this.#options.effects.push({ kind: "ask_permits", question: question });
  }

  #submit(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    inFlight.startAttempt(target.name, now);
    this.#recordChoice(inFlight, target, now);
    target.addInFlight(inFlight.request.id, now);
    this.#selection.noteSent(inFlight, target, now);
    this.#options.effects.push({
      kind: "send",
      targetName: target.name,
      message: createSubmitMessage(inFlight, now),
    });
    const ahead = this.#availability.tryPlanAhead(inFlight.pool, now);
    if (ahead !== undefined) this.#requestPermits(ahead);
  }

  #failUnsent(
    inFlight: InFlightRequest,
    unavailability: Unavailability | CrashingRequest,
    now: number,
  ): void {
    const { reason } = unavailability;
    const isKeyed = inFlight.request.idempotencyKey !== undefined;
    const drains = reason === "DOMAINS_DRAINED"
      ? this.#options.drains.getFacts(now)
      : undefined;
    const failure = createUnsentFailure(reason, isKeyed);
    const hold = this.#selection.gate.tryHoldFacts(inFlight, reason, now);
    const freeInMs = reason === "TARGETS_BACKING_OFF"
      ? this.#availability.tryDrawReturnMs(unavailability)
      : undefined;
    this.fail(inFlight, { ...failure, freeInMs, ...hold, drains }, now);
  }

  /** Retries where that can do no harm; otherwise answers at once. */
  onAttemptFailed(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): void {
    this.#removeFromTarget(inFlight);
    this.#options.effects.push(
      createAttemptFailedNote(inFlight, { ...failure, now }),
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

  /** The attempt under way has ended without an answer. */
  recordLostAttempt(inFlight: InFlightRequest, end: AttemptEnd): void {
    this.#options.effects.push(
      ...this.#options.crashes.noteLost(inFlight, end),
    );
  }

  /** Where the last target asked for a backoff as all others did, its end is known. */
  #tryRefuseBackingOff(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    const isKnown = failure.submission === "not-run" &&
      this.#availability.isBackingOffWhole(inFlight.pool, now);
    if (!isKnown) return false;
    const reason = "TARGETS_BACKING_OFF";
    const why = this.#availability.describe(inFlight, reason, now);
    this.#failUnsent(inFlight, why, now);
    return true;
  }

  /** Lets it wait for what was lost, as if it had not been sent there. */
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
    // The target that could not be reached may be the only one, and come back.
    if (reason === "TARGETS_UNREACHABLE") inFlight.allowLastTargetAgain();
    if (!this.#waiting.tryAdd(inFlight, { reason }, now)) return false;
    this.#options.effects.push(createWaitsNote(inFlight, { reason, now }));
    return true;
  }

  /** Sends it to another target; false if that may do harm or cannot help. */
  tryRetry(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    // Its caller may ask again; one attempt of it ends no second target.
    const isSuspect = failure.submission === "unknown" &&
      this.#options.crashes.hasCrashed(inFlight);
    const mayTryAgain = !isSuspect &&
      this.#availability.hasOther(inFlight, now) &&
      this.#options.retries.tryTake(inFlight, failure, now);
    if (!mayTryAgain) return false;
    this.#removeFromTarget(inFlight);
    inFlight.endAttempt(failure.submission);
    this.#options.effects.push({ kind: "count_retry", reason: failure.reason });
    this.submitOrWait(inFlight, now);
    return true;
  }

  /**
   * A rank's own requests hold back every pass of its group by its pace. Those
   * that may go on elsewhere do, as long as another target is free.
   */
  rerouteFromSlowRanks(now: number): void {
    for (const inFlight of this.inFlight) {
      const target = this.#selection.registry.tryGet(inFlight.targetName ?? "");
      if (target?.holdsBackGroup !== true) continue;
      if (this.#selection.select(inFlight, now).isErr()) continue;
      const { attempt } = inFlight;
      if (!this.tryRetry(inFlight, SLOW_TARGET_FAILURE, now)) continue;
      this.#options.effects.push(
        createCancelEffect(inFlight, target.name, attempt),
      );
    }
  }

  /** Refuses those whose wait is over. */
  refuseExpired(now: number): void {
    for (const { inFlight, reason } of this.#waiting.takeExpired(now)) {
      const why = this.#availability.describe(inFlight, reason, now);
      this.#failUnsent(inFlight, why, now);
    }
  }

  #recordChoice(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    const serving = this.#selection.registry.servingOf(inFlight.pool).length;
    const limit = this.#options.sendLimits.tryGet(target.name);
    this.#options.warmUp.noteSent(target.name, inFlight.pool);
    const share = this.#availability.getShare(target, now);
    const facts = { target, now, serving, limit, share };
    this.#options.effects.push(createSentNote(inFlight, facts));
  }

  /** Tells the target of the attempt under way that nobody waits for it. */
  cancel(inFlight: InFlightRequest): void {
    const { targetName, attempt } = inFlight;
    if (targetName === undefined) return;
    this.#options.effects.push(
      createCancelEffect(inFlight, targetName, attempt),
    );
  }

  /** Gives the caller an answer that is whole. */
  finish(inFlight: InFlightRequest, now: number): void {
    this.#end(inFlight);
    const { effects } = this.#options;
    effects.push(createAnsweredNote(inFlight, now));
    effects.push(...createAnswerCounts(inFlight));
    effects.push(...relayEnd(inFlight));
  }

  /** Ends a request that gets no answer, or the error that a target gave before. */
  fail(inFlight: InFlightRequest, failure: Failure, now: number): void {
    if (inFlight.tryRestoreFallbackAnswer()) return this.finish(inFlight, now);
    this.#end(inFlight);
    this.#options.effects.push(...createFailureEffects(inFlight, failure, now));
  }

  /** The caller has left. */
  drop(inFlight: InFlightRequest): void {
    this.#end(inFlight);
  }

  #end(inFlight: InFlightRequest): void {
    this.#removeFromTarget(inFlight);
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
