/**
 * The entry role as one reducer: lets requests in, chooses targets, follows
 * answers, retries, and refuses.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type { RandomSource } from "../core/random_source.ts";
import {
  type AnswerEndMessage,
  type AttemptMessage,
  isAttemptMessage,
  type RefusedMessage,
} from "../messages/types.ts";
import { PoolChoice } from "../policy/pool_choice.ts";
import type { PoolRetryLimits } from "../policy/pool_retry_budgets.ts";
import type { TargetChoice } from "../policy/target_choice.ts";
import type { PermitQuestion, SendPermits } from "../policy/send_permits.ts";
import { CombinedLimits, type SendLimits } from "../policy/send_limits.ts";
import type { TargetLimits } from "../policy/target_limits.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import {
  createAnsweredNote,
  createAttemptFailedNote,
  createLeftNote,
  createSentNote,
  createWaitsNote,
} from "./decision_notes.ts";
import type { AdmissionGate } from "./admission_gate.ts";
import { Admission } from "./admission.ts";
import { DrainWatch } from "./drain_watch.ts";
import {
  type AttemptEnd,
  type CrashMemory,
  CrashWatch,
} from "./crash_watch.ts";
import { relayEnd, relayHead, relayPiece } from "./answer_relay.ts";
import {
  createUnknown,
  createUnsent,
  type Failure,
  SERVER_ERROR,
  SERVER_ERROR_STATUS,
  TARGET_SLOW,
} from "./failures.ts";
import {
  createAnswerCounts,
  createCancel,
  createDoorRefusal,
  createFailureEffects,
  createForward,
} from "./request_effects.ts";
import { InFlightRequest } from "./in_flight_request.ts";
import { NoticeWatch } from "./notice_watch.ts";
import { createSubmit } from "./submit_message.ts";
import { ReturningCallers } from "./returning_callers.ts";
import type { Route } from "./routing_table.ts";
import type { TargetRecord } from "./target_record.ts";
import { TargetRegistry } from "./target_registry.ts";
import { type TargetMoment, TargetNews } from "./target_news.ts";
import type {
  TargetAvailability,
  Unavailability,
} from "./target_availability.ts";
import { TargetSelection } from "./target_selection.ts";
import { RetryPolicy } from "./retry_policy.ts";
import { WaitingRequests } from "./waiting_requests.ts";
import { WarmUpWatch } from "./warm_up_watch.ts";
import type {
  CallerRequest,
  EntryEffect,
  EntryEvent,
  GroupSeen,
  RequestArrived,
  SettingsInForce,
  TargetMessageReceived,
} from "./types.ts";

/** Options of an {@link EntryReducer}. */
export interface EntryReducerOptions {
  readonly failureDomain: string;
  /** Tells entries apart that each send to part of a large pool only. */
  readonly entryName?: string;
  readonly random: RandomSource;
  /** How targets are chosen; scored by default. */
  readonly choice?: TargetChoice;
  /** Key of the digests of requests: the deployment's secret, the same in all entries. */
  readonly digestKey?: string;
  /** Retries that all entries together may make; unlimited by default. */
  readonly poolRetries?: PoolRetryLimits;
}

/** A request that is sent nowhere, as targets have ended under it. */
interface CrashingRequest {
  readonly reason: "CRASHES_TARGETS";
}

/** Milliseconds between two comparisons of the targets of a pool. */
const COMPARE_INTERVAL_MS = 500;

/** The entry role as one reducer over all its events. */
export class EntryReducer {
  readonly #admission = new Admission();
  readonly #selection: TargetSelection;
  readonly #retries: RetryPolicy;
  readonly #waiting = new WaitingRequests();
  readonly #pools: PoolChoice;
  readonly #inFlight = new Map<number, InFlightRequest>();
  /** Requests that the old scripts have. */
  readonly #withScripts = new Map<number, Route>();
  readonly #returning = new ReturningCallers();
  readonly #digestKey: string;
  readonly #crashes: CrashWatch;
  readonly #notices: NoticeWatch;
  readonly #drains: DrainWatch;
  /** Which targets warm up. */
  readonly warmUp = new WarmUpWatch();
  readonly #sendLimits: SendLimits;
  readonly #news: TargetNews;
  #isDraining = false;
  #saidDrained = false;
  #comparedAt = 0;
  #effects: EntryEffect[] = [];

  /** Begins without settings or targets. */
  constructor(options: EntryReducerOptions) {
    const registry = new TargetRegistry();
    this.#notices = new NoticeWatch(registry.leaving);
    const { limits } = this.#notices;
    this.#sendLimits = new CombinedLimits(limits, this.warmUp.limits);
    this.#selection = new TargetSelection({
      ...options,
      registry,
      backoffs: this.#notices.backoffs,
      limits: this.#sendLimits,
    });
    this.#drains = new DrainWatch(this.#availability.drains, this.registry);
    this.#pools = new PoolChoice(options.random);
    this.#retries = new RetryPolicy(options.poolRetries);
    this.#digestKey = options.digestKey ?? "";
    this.#crashes = new CrashWatch((name) =>
      this.registry.tryGet(name)?.answeredAt ?? 0
    );
    this.#news = new TargetNews({
      selection: this.#selection,
      crashes: this.#crashes,
      limits,
      warmUp: this.warmUp,
    });
  }

  /** Requests on their way. */
  get inFlight(): number {
    return this.#inFlight.size + this.#withScripts.size;
  }

  /** What is remembered of targets that ended under requests. */
  get crashes(): CrashMemory {
    return this.#crashes;
  }

  /** What is remembered of the limits that targets name. */
  get limits(): TargetLimits {
    return this.#notices.limits;
  }

  /** What targets say of themselves with their answers. */
  get notices(): NoticeWatch {
    return this.#notices;
  }

  /** Who may send to targets that have limits. */
  get permits(): SendPermits {
    return this.#availability.permits;
  }

  /** Holds back requests from rank groups near their capacity. */
  get gate(): AdmissionGate {
    return this.#selection.gate;
  }

  /** The targets that are known. */
  get registry(): TargetRegistry {
    return this.#selection.registry;
  }

  /**
   * Takes in one event and returns what is to be done, in order.
   *
   * @example
   * ```ts
   * for (const effect of reducer.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: EntryEvent): readonly EntryEffect[] {
    this.#effects = [];
    this.#reduce(event);
    this.#checkDrained();
    return this.#effects;
  }

  get #availability(): TargetAvailability {
    return this.#selection.availability;
  }

  #reduce(event: EntryEvent): void {
    switch (event.kind) {
      case "request_arrived":
        return this.#requestArrived(event);
      case "caller_gone":
        return this.#callerGone(event.requestId, event.now);
      case "caller_too_slow":
        return this.#callerTooSlow(event.requestId, event.now);
      case "target_connected":
        this.registry.connect(event.target).setNow(event.now);
        return;
      case "target_disconnected":
        return this.#targetDisconnected(event.targetName, event.now);
      case "message_received":
        return this.#messageReceived(event);
      case "machines_listed":
        return this.registry.setMachines(event.machines);
      case "settings_in_force":
        return this.#settingsInForce(event);
      case "scripts_finished":
        return this.#scriptsFinished(event.requestId);
      case "instances_listed":
        this.#effects.push(...this.#news.noteListed(event));
        this.#effects.push(...this.#drains.noteTargets());
        return this.#submitWaiting(event.now);
      case "entries_listed":
        this.#selection.setEntries(event.entries, event.now);
        return this.#retries.setEntries(event.entries.length);
      case "permits_told":
        this.permits.noteOutcome(event.outcome, event.now);
        return this.#submitWaiting(event.now);
      case "group_load_told":
        this.#effects.push(...this.#news.noteGroupLoad(event));
        this.#leaveStragglers(event.now);
        return this.#submitWaiting(event.now);
      case "crashes_told":
        this.#effects.push(...this.#crashes.noteTold(event));
        return;
      case "limits_told":
        this.#effects.push(...this.#notices.noteLimitsTold(event));
        return this.#submitWaiting(event.now);
      case "leaving_told":
        this.#effects.push(...this.#notices.noteLeavingTold(event));
        return;
      case "failure_domains_drained":
        this.#effects.push(...this.#drains.noteDrained(event));
        this.#submitWaiting(event.now);
        return this.#refuseExpired(event.now);
      case "ranks_listed":
        return this.registry.setRanks(event.ranks);
      case "group_seen":
        return this.#groupSeen(event);
      case "pool_retries_limited":
        return this.#retries.setLimits(event.limits);
      case "tick":
        return this.#tick(event.now);
      case "drain_requested":
        this.#isDraining = true;
        return;
      default:
        assertNever(event);
    }
  }

  #groupSeen(event: GroupSeen): void {
    const news = this.#news.noteGroupSeen(event);
    this.#effects.push(...news);
    const hasOpened = news.length > 0 && event.sight.isOpen;
    if (hasOpened) this.#submitWaiting(event.now);
  }

  /** Whether a request that was chosen for a target earlier may still be sent there. */
  mayBegin(targetName: string, now: number): boolean {
    return this.#availability.mayBegin(targetName, now);
  }

  #requestArrived({ request, now, readAt = now }: RequestArrived): void {
    if (this.#isDraining) return this.#refuseAtDoor(request, "ENTRY_DRAINING");
    const admitted = this.#admission.admit(request, now);
    if (admitted.isErr()) return this.#refuseAtDoor(request, admitted.error);
    const route = admitted.value;
    const deadlineMs = Math.min(
      request.deadlineMs ?? route.service.defaultDeadlineMs,
      route.service.longestDeadlineMs,
    );
    if (route.service.handover === "scripts") {
      this.#withScripts.set(request.id, route);
      this.#effects.push(createForward(request, route, deadlineMs));
      return;
    }
    const pool = this.#pools.choose(route.service);
    const inFlight = new InFlightRequest(request, route, {
      arrivedAt: readAt,
      deadlineAt: readAt + deadlineMs,
      pool,
      poolPriorities: this.#admission.tryPrioritiesOf(pool),
      isRepeated: this.#returning.observe(request, route, now),
      digestKey: this.#digestKey,
    });
    this.#inFlight.set(request.id, inFlight);
    this.#retries.countRequest(inFlight, now);
    this.gate.noteArrival(inFlight, now);
    this.#submitOrWait(inFlight, now);
  }

  #submitOrWait(inFlight: InFlightRequest, now: number): void {
    if (this.#tryRefuseCrashing(inFlight, now)) return;
    const selected = this.#selection.select(inFlight, now);
    this.#effects.push(...this.gate.takeNotes());
    if (selected.isOk()) return this.#submit(inFlight, selected.value, now);
    const reason = selected.error;
    if (reason === "TARGETS_LIMITED" && !this.#tryAskFor(inFlight, now)) return;
    const unavailability = this.#availability.describe(inFlight, reason, now);
    if (this.#waiting.tryAdd(inFlight, unavailability, now)) {
      this.#effects.push(createWaitsNote(inFlight, { reason, now }));
      return;
    }
    this.#failUnsent(inFlight, unavailability, now);
  }

  /**
   * A request under which targets have ended would end the next one, too, and cost all
   * others that run there, or in its group, their answers.
   */
  #tryRefuseCrashing(inFlight: InFlightRequest, now: number): boolean {
    if (this.#crashes.mayRun(inFlight, now)) return false;
    this.#failUnsent(inFlight, { reason: "CRASHES_TARGETS" }, now);
    return true;
  }

  /** Tries again for those that wait, in the order in which they are due. */
  #submitWaiting(now: number): void {
    for (const inFlight of this.#waiting.all(now)) {
      if (this.#tryRefuseCrashing(inFlight, now)) continue;
      const { id } = inFlight.request;
      const selected = this.#selection.select(inFlight, now);
      if (selected.isErr()) {
        const reason = selected.error;
        if (reason === "TARGETS_LIMITED") this.#tryAskFor(inFlight, now);
        const why = this.#availability.describe(inFlight, reason, now);
        this.#waiting.noteReason(id, why, now);
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
  #tryAskFor(inFlight: InFlightRequest, now: number): boolean {
    const count = 1 + this.#waiting.countOf("TARGETS_LIMITED");
    const plan = this.#selection.planPermits(inFlight, count, now);
    if (plan.kind === "ask") this.#askPermits(plan.question);
    if (plan.kind !== "none") return true;
    const isKeyed = inFlight.request.idempotencyKey !== undefined;
    const failure = createUnsent("TARGETS_LIMITED", isKeyed);
    this.#fail(inFlight, { ...failure, freeInMs: plan.freeInMs }, now);
    return false;
  }

  #askPermits(question: PermitQuestion): void {
    this.#effects.push({ kind: "ask_permits", question });
  }

  #submit(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    inFlight.startAttempt(target.name, now);
    this.#noteChoice(inFlight, target, now);
    target.addInFlight(inFlight.request.id, now);
    this.#selection.noteSent(inFlight, target, now);
    this.#effects.push({
      kind: "send",
      targetName: target.name,
      message: createSubmit(inFlight, now),
    });
    const ahead = this.#availability.tryPlanAhead(inFlight.pool, now);
    if (ahead !== undefined) this.#askPermits(ahead);
  }

  #failUnsent(
    inFlight: InFlightRequest,
    unavailability: Unavailability | CrashingRequest,
    now: number,
  ): void {
    const { reason } = unavailability;
    const isKeyed = inFlight.request.idempotencyKey !== undefined;
    const drains = reason === "DOMAINS_DRAINED"
      ? this.#drains.getFacts(now)
      : undefined;
    const failure = createUnsent(reason, isKeyed);
    const hold = this.gate.tryHoldFacts(inFlight, reason, now);
    const freeInMs = reason === "TARGETS_BACKING_OFF"
      ? this.#availability.tryDrawReturnMs(unavailability)
      : undefined;
    this.#fail(inFlight, { ...failure, freeInMs, ...hold, drains }, now);
  }

  #messageReceived(event: TargetMessageReceived): void {
    const target = this.registry.tryGet(event.targetName);
    if (target === undefined) return;
    const { message, now } = event;
    if (isAttemptMessage(message)) {
      return this.#attemptMessage(message, target, now);
    }
    this.#news.noteWord(message, { target, now });
  }

  #attemptMessage(
    message: AttemptMessage,
    target: TargetRecord,
    now: number,
  ): void {
    const inFlight = this.#inFlight.get(message.requestId);
    const isCurrent = inFlight !== undefined &&
      message.attempt === inFlight.attempt &&
      target.name === inFlight.targetName;
    if (!isCurrent) {
      this.#effects.push({ kind: "count_stale_message" });
      return;
    }
    const place = { inFlight, target, now };
    this.#effects.push(...this.#notices.noteAnswer(message, place));
    if (message.kind === "refused") {
      const sentAt = inFlight.attemptStartedAt;
      return this.#attemptRefused(inFlight, message, { target, sentAt, now });
    }
    if (inFlight.progress(message).kind === "broken") {
      return this.#attemptBroken(inFlight, target, now);
    }
    switch (message.kind) {
      case "answer_head":
        target.countFirstByte(message.requestId, now);
        this.#effects.push(...this.#news.noteReached(target));
        this.#effects.push(...relayHead(inFlight));
        return;
      case "answer_data":
        return this.#continueAnswer(inFlight, message.bytes, { target, now });
      case "answer_end":
        return this.#finishAnswer(inFlight, message, { target, now });
      default:
        assertNever(message);
    }
  }

  #continueAnswer(
    inFlight: InFlightRequest,
    bytes: Uint8Array,
    at: TargetMoment,
  ): void {
    inFlight.notePiece(at.now);
    const { effects, hasGap } = relayPiece(inFlight, bytes);
    this.#effects.push(...effects);
    if (hasGap) this.#attemptBroken(inFlight, at.target, at.now);
  }

  #finishAnswer(
    inFlight: InFlightRequest,
    message: AnswerEndMessage,
    at: TargetMoment,
  ): void {
    const status = inFlight.head?.status ?? 0;
    const isServerError = status >= SERVER_ERROR_STATUS;
    const hasPause =
      this.#notices.backoffs.getRemainingMs(at.target.name, at.now) > 0;
    // The pause itself says for how long the target gets nothing.
    if (!isServerError || !hasPause) {
      at.target.countAttempt(isServerError, at.now);
    }
    at.target.noteConnection(message.keptMs, at.now);
    at.target.setReportedLoad(message.queued + message.running, at.now);
    if (isServerError && this.#tryAgain(inFlight, SERVER_ERROR, at.now)) return;
    this.#effects.push(...this.#crashes.noteServed(inFlight, at.now));
    this.#end(inFlight);
    this.#effects.push(createAnsweredNote(inFlight, at.now));
    this.#effects.push(...createAnswerCounts(inFlight));
    this.#effects.push(...relayEnd(inFlight));
  }

  #attemptRefused(
    inFlight: InFlightRequest,
    message: RefusedMessage,
    at: TargetMoment,
  ): void {
    this.#effects.push(...this.#news.noteRefused(message, at));
    this.#attemptFailed(inFlight, message, at.now);
  }

  #attemptBroken(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    target.countAttempt(true, now);
    this.#cancel(inFlight);
    this.#attemptFailed(inFlight, createUnknown("ANSWER_BROKEN"), now);
  }

  #targetDisconnected(targetName: string, now: number): void {
    this.registry.tryGet(targetName)?.disconnect();
    this.#selection.forgetTarget(targetName);
    for (const inFlight of [...this.#inFlight.values()]) {
      if (inFlight.targetName !== targetName) continue;
      this.#attemptFailed(inFlight, createUnknown("TARGET_LOST"), now);
    }
  }

  /** Retries where that can do no harm; otherwise answers at once. */
  #attemptFailed(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): void {
    this.#leaveTarget(inFlight);
    this.#effects.push(createAttemptFailedNote(inFlight, { ...failure, now }));
    const isBroken = failure.reason !== "DEADLINE";
    if (failure.submission === "unknown") {
      this.#noteLost(inFlight, { now, isBroken });
    }
    inFlight.endAttempt(failure.submission);
    if (this.#tryAgain(inFlight, failure, now)) return;
    if (this.#tryWaitAgain(inFlight, failure, now)) return;
    this.#fail(inFlight, failure, now);
  }

  #noteLost(inFlight: InFlightRequest, end: AttemptEnd): void {
    this.#effects.push(...this.#crashes.noteLost(inFlight, end));
  }

  /** Lets it wait for what was lost, as if it had not been sent there. */
  #tryWaitAgain(
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
    if (!this.#retries.tryTake(inFlight, failure, now)) return false;
    // The target that could not be reached may be the only one, and come back.
    if (reason === "TARGETS_UNREACHABLE") inFlight.forgetLastTarget();
    if (!this.#waiting.tryAdd(inFlight, { reason }, now)) return false;
    this.#effects.push(createWaitsNote(inFlight, { reason, now }));
    return true;
  }

  /** Sends it to another target; false if that may do harm or cannot help. */
  #tryAgain(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    // Its caller may ask again; one attempt of it ends no second target.
    const isSuspect = failure.submission === "unknown" &&
      this.#crashes.hasCrashed(inFlight);
    const mayTryAgain = !isSuspect &&
      this.#availability.hasOther(inFlight, now) &&
      this.#retries.tryTake(inFlight, failure, now);
    if (!mayTryAgain) return false;
    this.#leaveTarget(inFlight);
    inFlight.endAttempt(failure.submission);
    this.#effects.push({ kind: "count_retry", reason: failure.reason });
    this.#submitOrWait(inFlight, now);
    return true;
  }

  /**
   * A rank's own requests hold back every pass of its group by its pace. Those
   * that may go on elsewhere do, as long as another target is free.
   */
  #leaveStragglers(now: number): void {
    for (const inFlight of [...this.#inFlight.values()]) {
      const target = this.registry.tryGet(inFlight.targetName ?? "");
      if (target?.holdsBackGroup !== true) continue;
      if (this.#selection.select(inFlight, now).isErr()) continue;
      const { attempt } = inFlight;
      if (!this.#tryAgain(inFlight, TARGET_SLOW, now)) continue;
      this.#effects.push(createCancel(inFlight, target.name, attempt));
    }
  }

  #callerGone(requestId: number, now: number): void {
    const inFlight = this.#inFlight.get(requestId);
    if (inFlight === undefined) return;
    this.#noteLost(inFlight, { now, isBroken: false });
    this.#cancel(inFlight);
    this.#effects.push(createLeftNote(inFlight));
    this.#end(inFlight);
  }

  #callerTooSlow(requestId: number, now: number): void {
    const inFlight = this.#inFlight.get(requestId);
    if (inFlight === undefined) return;
    this.#cancel(inFlight);
    this.#fail(inFlight, createUnknown("CALLER_TOO_SLOW"), now);
  }

  #settingsInForce(event: SettingsInForce): void {
    const { routes, changed, now, groups } = event;
    if (groups !== undefined) this.gate.setGroups(groups);
    this.#admission.setRoutes(routes);
    this.#effects.push(...this.warmUp.noteSettings(event));
    this.registry.setLeavingBySettings(event.leavingTargets ?? new Set());
    const concerned = changed === undefined
      ? routes.routes()
      : changed.flatMap((path) => routes.tryGet(path) ?? []);
    for (const route of concerned) {
      this.#admission.setLimits(route, now);
      this.#retries.setRoute(route);
    }
  }

  #scriptsFinished(requestId: number): void {
    const route = this.#withScripts.get(requestId);
    if (route === undefined) return;
    this.#withScripts.delete(requestId);
    this.#admission.release(route);
  }

  #tick(now: number): void {
    this.#effects.push(...this.warmUp.noteTime(now));
    this.#effects.push(...this.#notices.noteTime(now));
    if (now - this.#comparedAt >= COMPARE_INTERVAL_MS) {
      this.#comparedAt = now;
      this.registry.updateSlowness(now);
    }
    this.#refuseExpired(now);
    this.#submitWaiting(now);
    for (const inFlight of [...this.#inFlight.values()]) {
      if (inFlight.deadlineAt > now) continue;
      this.#countSilence(inFlight, now);
      this.#noteLost(inFlight, { now, isBroken: false });
      this.#cancel(inFlight);
      this.#fail(inFlight, createUnknown("DEADLINE"), now);
    }
  }

  #refuseExpired(now: number): void {
    for (const { inFlight, reason } of this.#waiting.takeExpired(now)) {
      const why = this.#availability.describe(inFlight, reason, now);
      this.#failUnsent(inFlight, why, now);
    }
  }

  /** A target that gave no first byte before the deadline may be frozen. */
  #countSilence(inFlight: InFlightRequest, now: number): void {
    if (inFlight.head !== undefined) return;
    const target = this.registry.tryGet(inFlight.targetName ?? "");
    target?.countAttempt(true, now);
  }

  #noteChoice(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    const serving = this.registry.servingOf(inFlight.pool).length;
    const limit = this.#sendLimits.tryGet(target.name);
    this.warmUp.noteSent(target.name, inFlight.pool);
    const share = this.#availability.getShare(target, now);
    const facts = { target, now, serving, limit, share };
    this.#effects.push(createSentNote(inFlight, facts));
  }

  #cancel(inFlight: InFlightRequest): void {
    const { targetName, attempt } = inFlight;
    if (targetName === undefined) return;
    this.#effects.push(createCancel(inFlight, targetName, attempt));
  }

  #refuseAtDoor(request: CallerRequest, reason: RefusalName): void {
    this.#effects.push(...createDoorRefusal(request, reason));
  }

  #fail(inFlight: InFlightRequest, failure: Failure, now: number): void {
    this.#end(inFlight);
    this.#effects.push(...createFailureEffects(inFlight, failure, now));
  }

  #end(inFlight: InFlightRequest): void {
    this.#leaveTarget(inFlight);
    this.#waiting.remove(inFlight.request.id);
    this.#inFlight.delete(inFlight.request.id);
    this.#admission.release(inFlight.route);
  }

  #leaveTarget(inFlight: InFlightRequest): void {
    if (inFlight.targetName === undefined) return;
    this.registry.tryGet(inFlight.targetName)
      ?.removeInFlight(inFlight.request.id);
  }

  #checkDrained(): void {
    if (!this.#isDraining || this.#saidDrained || this.inFlight > 0) return;
    this.#saidDrained = true;
    this.#effects.push({ kind: "drained" });
  }
}
