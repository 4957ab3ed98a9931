/**
 * The entry role as one reducer: lets requests in, chooses targets, follows
 * answers, retries, and refuses.
 *
 * @module
 */
import { assertNever, Debug } from "../core/debug.ts";
import { fingerprintOf, slotOf } from "../core/idempotency_key.ts";
import type { RandomSource } from "../core/random_source.ts";
import {
  type AnswerEndMessage,
  type AttemptMessage,
  isAttemptMessage,
  type RefusedMessage,
} from "../messages/types.ts";
import { PrefixIndex } from "../policy/prefix_index.ts";
import { PoolChoice } from "../policy/pool_choice.ts";
import {
  PoolRetryBudgets,
  type PoolRetryLimits,
} from "../policy/pool_retry_budgets.ts";
import { RetryBudget } from "../policy/retry_budget.ts";
import { ScoredChoice, type TargetChoice } from "../policy/target_choice.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { createProblem } from "../refusals/problem.ts";
import type { Outcome } from "../refusals/types.ts";
import {
  createAnsweredNote,
  createAttemptFailedNote,
  createDoorNote,
  createFailedNote,
  createLeftNote,
  createSentNote,
} from "./decision_notes.ts";
import { Admission } from "./admission.ts";
import { InFlightRequest } from "./in_flight_request.ts";
import { mayRetry } from "./retry_rules.ts";
import { createSubmit } from "./submit_message.ts";
import type { Route } from "./routing_table.ts";
import type { TargetRecord } from "./target_record.ts";
import { TargetRegistry } from "./target_registry.ts";
import type {
  CallerRequest,
  EntryEffect,
  EntryEvent,
  SettingsInForce,
  TargetMessageReceived,
} from "./types.ts";

/** Options of an {@link EntryReducer}. */
export interface EntryReducerOptions {
  readonly failureDomain: string;
  readonly random: RandomSource;
  /** How targets are chosen; scored by default. */
  readonly choice?: TargetChoice;
  /** Retries that all entries together may make; unlimited by default. */
  readonly poolRetries?: PoolRetryLimits;
}

/** What is known of a request that gets no answer. */
interface Failure {
  readonly reason: RefusalName;
  /** What is known of the key; without a key, of the submission. */
  readonly outcome: Outcome;
  readonly submission: Outcome;
}

/** Where a message of an attempt came from, and when. */
interface AttemptPlace {
  readonly target: TargetRecord;
  readonly now: number;
}

/** Lowest status of an answer that says that the back end failed. */
const SERVER_ERROR_STATUS = 500;
/** The back end answered, so it may have run the request. */
const SERVER_ERROR: Failure = {
  reason: "BACK_END_ERROR",
  outcome: "unknown",
  submission: "unknown",
};

/** Milliseconds between two comparisons of the targets of a pool. */
const COMPARE_INTERVAL_MS = 500;

/** The entry role as one reducer over all its events. */
export class EntryReducer {
  readonly #failureDomain: string;
  readonly #choice: TargetChoice;
  readonly #admission = new Admission();
  readonly #registry = new TargetRegistry();
  readonly #prefixes = new PrefixIndex();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #pools: PoolChoice;
  readonly #poolBudgets: PoolRetryBudgets;
  readonly #inFlight = new Map<number, InFlightRequest>();
  /** Requests that the old scripts have. */
  readonly #withScripts = new Map<number, Route>();
  #isDraining = false;
  #saidDrained = false;
  #comparedAt = 0;
  #effects: EntryEffect[] = [];

  /** Begins without settings or targets. */
  constructor(options: EntryReducerOptions) {
    this.#failureDomain = options.failureDomain;
    this.#choice = options.choice ?? new ScoredChoice(options.random);
    this.#pools = new PoolChoice(options.random);
    this.#poolBudgets = new PoolRetryBudgets(options.poolRetries);
  }

  /** Requests on their way. */
  get inFlight(): number {
    return this.#inFlight.size + this.#withScripts.size;
  }

  /** The targets that are known. */
  get registry(): TargetRegistry {
    return this.#registry;
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

  #reduce(event: EntryEvent): void {
    switch (event.kind) {
      case "request_arrived":
        return this.#requestArrived(event.request, event.now);
      case "caller_gone":
        return this.#callerGone(event.requestId);
      case "caller_too_slow":
        return this.#callerTooSlow(event.requestId, event.now);
      case "target_connected":
        this.#registry.connect(event.target).setNow(event.now);
        return;
      case "target_disconnected":
        return this.#targetDisconnected(event.targetName, event.now);
      case "message_received":
        return this.#messageReceived(event);
      case "machines_listed":
        return this.#registry.setMachines(event.machines);
      case "settings_in_force":
        return this.#settingsInForce(event);
      case "scripts_finished":
        return this.#scriptsFinished(event.requestId);
      case "instances_listed":
        return this.#registry.setInstances(event.instances, event.now);
      case "entries_counted":
        return this.#poolBudgets.setProcesses(event.entries);
      case "pool_retries_limited":
        return this.#poolBudgets.setLimits(event.limits);
      case "tick":
        return this.#tick(event.now);
      case "drain_requested":
        this.#isDraining = true;
        return;
      default:
        assertNever(event);
    }
  }

  #requestArrived(request: CallerRequest, now: number): void {
    if (this.#isDraining) return this.#refuseAtDoor(request, "ENTRY_DRAINING");
    const admitted = this.#admission.admit(request, now);
    if (admitted.isErr()) return this.#refuseAtDoor(request, admitted.error);
    const route = admitted.value;
    const deadlineMs = Math.min(
      request.deadlineMs ?? route.service.defaultDeadlineMs,
      route.service.longestDeadlineMs,
    );
    if (route.service.handover === "scripts") {
      return this.#forward(request, route, deadlineMs);
    }
    const pool = this.#pools.choose(route.service);
    const inFlight = new InFlightRequest(request, route, {
      deadlineAt: now + deadlineMs,
      pool,
    });
    this.#inFlight.set(request.id, inFlight);
    this.#budgetOf(route).countRequest();
    this.#poolBudgets.countRequest(pool, now);
    this.#submit(inFlight, now);
  }

  #forward(request: CallerRequest, route: Route, deadlineMs: number): void {
    this.#withScripts.set(request.id, route);
    this.#effects.push({
      kind: "forward_to_scripts",
      address: Debug.getDefined(
        route.service.scriptsAddress,
        "A service on the scripts has their address",
      ),
      deadlineMs,
      request,
    });
  }

  #submit(inFlight: InFlightRequest, now: number): void {
    const { request } = inFlight;
    const target = this.#tryTarget(inFlight, now);
    if (target === undefined) {
      const isKeyed = request.idempotencyKey !== undefined;
      return this.#fail(inFlight, {
        reason: isKeyed ? "NO_KEY_OWNER" : "NO_TARGET",
        outcome: isKeyed ? "unknown" : "not-run",
        submission: "not-run",
      }, now);
    }
    inFlight.startAttempt(target.name);
    this.#noteChoice(inFlight, target, now);
    target.addInFlight(request.id, now);
    this.#prefixes.remember(request.prefixBlocks ?? [], target.name);
    this.#effects.push({
      kind: "send",
      targetName: target.name,
      message: createSubmit(inFlight, now),
    });
  }

  #tryTarget(
    inFlight: InFlightRequest,
    now: number,
  ): TargetRecord | undefined {
    const { request, route, pool } = inFlight;
    if (request.idempotencyKey !== undefined) {
      return this.#tryOwner(request, route);
    }
    const candidates = this.#registry.servingOf(pool)
      .filter((target) => !inFlight.hasTried(target.name));
    const blocks = request.prefixBlocks ?? [];
    const chosen = this.#choice.tryChoose(candidates, {
      now,
      failureDomain: this.#failureDomain,
      cachedBlocks: this.#prefixes.cachedBlocks(blocks),
      promptBlocks: blocks.length,
    });
    return chosen === undefined
      ? undefined
      : this.#registry.tryGet(chosen.name);
  }

  /** A key may run only at its owner, leaving or not. */
  #tryOwner(request: CallerRequest, route: Route): TargetRecord | undefined {
    const slot = slotOf(fingerprintOf({
      organisation: route.organisation,
      service: route.servicePath,
      idempotencyKey: request.idempotencyKey as string,
    }));
    return this.#registry.tryOwner(route.service.pool, slot);
  }

  #messageReceived(event: TargetMessageReceived): void {
    const target = this.#registry.tryGet(event.targetName);
    if (target === undefined) return;
    const { message, now } = event;
    if (isAttemptMessage(message)) {
      return this.#attemptMessage(message, target, now);
    }
    switch (message.kind) {
      case "report":
        return target.setReportedLoad(message.queued + message.running, now);
      case "leaving":
        return target.setLeaving(true);
      case "serving":
        return target.setLeaving(false);
      case "claims":
        return this.#registry.setClaims(target, message);
      default:
        return;
    }
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
    if (message.kind === "refused") {
      return this.#attemptRefused(inFlight, message, { target, now });
    }
    if (inFlight.progress(message).kind === "broken") {
      return this.#attemptBroken(inFlight, target, now);
    }
    switch (message.kind) {
      case "answer_head":
        target.countFirstByte(message.requestId, now);
        return this.#startAnswer(inFlight);
      case "answer_data":
        return this.#continueAnswer(inFlight, message.bytes, { target, now });
      case "answer_end":
        return this.#finishAnswer(inFlight, message, { target, now });
      default:
        assertNever(message);
    }
  }

  /**
   * An event stream starts with its first event, so that a run that breaks
   * before it can be replaced by another, head included.
   */
  #startAnswer(inFlight: InFlightRequest): void {
    const isLater = inFlight.isHeldUntilWhole || inFlight.cursor !== undefined;
    if (!isLater) this.#startStreaming(inFlight);
  }

  #startStreaming(inFlight: InFlightRequest): void {
    const { head, isStreaming, request } = inFlight;
    if (isStreaming || head === undefined) return;
    inFlight.startStreaming();
    this.#effects.push({
      kind: "start_answer",
      requestId: request.id,
      status: head.status,
      headers: head.headers,
    });
  }

  #continueAnswer(
    inFlight: InFlightRequest,
    bytes: Uint8Array,
    at: AttemptPlace,
  ): void {
    if (inFlight.isHeldUntilWhole) return;
    const progress = inFlight.cursor?.push(bytes);
    const whole = progress?.events ?? bytes;
    if (whole.length > 0) {
      this.#startStreaming(inFlight);
      this.#effects.push({
        kind: "continue_answer",
        requestId: inFlight.request.id,
        bytes: whole,
      });
    }
    if (progress?.hasGap) this.#attemptBroken(inFlight, at.target, at.now);
  }

  #finishAnswer(
    inFlight: InFlightRequest,
    message: AnswerEndMessage,
    at: AttemptPlace,
  ): void {
    const { request, head } = inFlight;
    const isServerError = (head?.status ?? 0) >= SERVER_ERROR_STATUS;
    at.target.countAttempt(isServerError, at.now);
    at.target.setReportedLoad(message.queued + message.running, at.now);
    if (isServerError && this.#tryAgain(inFlight, SERVER_ERROR, at.now)) return;
    this.#end(inFlight);
    this.#sendRest(inFlight);
    this.#noteAnswer(inFlight, at.now);
    if (inFlight.isStreaming) {
      this.#effects.push({ kind: "finish_answer", requestId: request.id });
      return;
    }
    this.#effects.push({
      kind: "whole_answer",
      requestId: request.id,
      status: Debug.getDefined(head, "A whole answer has a head").status,
      headers: head?.headers ?? [],
      body: inFlight.held,
    });
  }

  /** Sends what an event stream still holds; without events, its head too. */
  #sendRest(inFlight: InFlightRequest): void {
    if (inFlight.isHeldUntilWhole) return;
    this.#startStreaming(inFlight);
    const rest = inFlight.cursor?.takeRest();
    if (rest === undefined || rest.length === 0) return;
    this.#effects.push({
      kind: "continue_answer",
      requestId: inFlight.request.id,
      bytes: rest,
    });
  }

  #attemptRefused(
    inFlight: InFlightRequest,
    message: RefusedMessage,
    at: AttemptPlace,
  ): void {
    at.target.countAttempt(isTargetsFault(message.reason), at.now);
    const isLeaving = message.reason === "TARGET_LEAVING" ||
      message.reason === "WRONG_INSTANCE";
    if (isLeaving) at.target.setLeaving(true);
    this.#attemptFailed(inFlight, message, at.now);
  }

  #attemptBroken(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    target.countAttempt(true, now);
    this.#cancel(inFlight);
    this.#attemptFailed(inFlight, {
      reason: "ANSWER_BROKEN",
      outcome: "unknown",
      submission: "unknown",
    }, now);
  }

  #targetDisconnected(targetName: string, now: number): void {
    this.#registry.tryGet(targetName)?.disconnect();
    this.#prefixes.forgetTarget(targetName);
    for (const inFlight of [...this.#inFlight.values()]) {
      if (inFlight.targetName !== targetName) continue;
      this.#attemptFailed(inFlight, {
        reason: "TARGET_LOST",
        outcome: "unknown",
        submission: "unknown",
      }, now);
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
    inFlight.endAttempt(failure.submission);
    if (!this.#tryAgain(inFlight, failure, now)) {
      this.#fail(inFlight, failure, now);
    }
  }

  /** Sends it to another target; false if that may do harm or cannot help. */
  #tryAgain(
    inFlight: InFlightRequest,
    failure: Failure,
    now: number,
  ): boolean {
    const mayTryAgain = now < inFlight.deadlineAt &&
      mayRetry(inFlight, failure) &&
      this.#hasOtherTarget(inFlight) &&
      this.#budgetOf(inFlight.route).tryTake() &&
      this.#poolBudgets.tryTake(inFlight.pool, now);
    if (!mayTryAgain) return false;
    this.#leaveTarget(inFlight);
    this.#effects.push({ kind: "count_retry", reason: failure.reason });
    this.#submit(inFlight, now);
    return true;
  }

  #hasOtherTarget(inFlight: InFlightRequest): boolean {
    return this.#registry.servingOf(inFlight.pool)
      .some((target) => !inFlight.hasTried(target.name));
  }

  #callerGone(requestId: number): void {
    const inFlight = this.#inFlight.get(requestId);
    if (inFlight === undefined) return;
    this.#cancel(inFlight);
    this.#effects.push(createLeftNote(inFlight));
    this.#end(inFlight);
  }

  #callerTooSlow(requestId: number, now: number): void {
    const inFlight = this.#inFlight.get(requestId);
    if (inFlight === undefined) return;
    this.#cancel(inFlight);
    this.#fail(inFlight, {
      reason: "CALLER_TOO_SLOW",
      outcome: "unknown",
      submission: "unknown",
    }, now);
  }

  #settingsInForce(event: SettingsInForce): void {
    const { routes, changed, now } = event;
    this.#admission.setRoutes(routes);
    this.#registry.setLeavingBySettings(event.leavingTargets ?? new Set());
    const concerned = changed === undefined
      ? routes.routes()
      : changed.flatMap((path) => routes.tryGet(path) ?? []);
    for (const route of concerned) {
      this.#admission.setLimits(route, now);
      const budget = this.#budgets.get(route.servicePath);
      budget?.setShare(route.service.retryShare);
    }
  }

  #scriptsFinished(requestId: number): void {
    const route = this.#withScripts.get(requestId);
    if (route === undefined) return;
    this.#withScripts.delete(requestId);
    this.#admission.release(route);
  }

  #tick(now: number): void {
    if (now - this.#comparedAt >= COMPARE_INTERVAL_MS) {
      this.#comparedAt = now;
      this.#registry.updateSlowness(now);
    }
    for (const inFlight of [...this.#inFlight.values()]) {
      if (inFlight.deadlineAt > now) continue;
      this.#countSilence(inFlight, now);
      this.#cancel(inFlight);
      this.#fail(inFlight, {
        reason: "DEADLINE",
        outcome: "unknown",
        submission: "unknown",
      }, now);
    }
  }

  /** A target that gave no first byte before the deadline may be frozen. */
  #countSilence(inFlight: InFlightRequest, now: number): void {
    if (inFlight.head !== undefined) return;
    const target = this.#registry.tryGet(inFlight.targetName ?? "");
    target?.countAttempt(true, now);
  }

  #noteChoice(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    const serving = this.#registry.servingOf(inFlight.pool).length;
    this.#effects.push(createSentNote(inFlight, { target, now, serving }));
  }

  #noteAnswer(inFlight: InFlightRequest, now: number): void {
    this.#effects.push(createAnsweredNote(inFlight, now));
  }

  #noteFailure(inFlight: InFlightRequest, failure: Failure, now: number): void {
    this.#effects.push(createFailedNote(inFlight, { ...failure, now }));
  }

  #cancel(inFlight: InFlightRequest): void {
    if (inFlight.targetName === undefined) return;
    this.#effects.push({
      kind: "send",
      targetName: inFlight.targetName,
      message: {
        kind: "cancel",
        requestId: inFlight.request.id,
        attempt: inFlight.attempt,
      },
    });
  }

  #refuseAtDoor(request: CallerRequest, reason: RefusalName): void {
    const isKeyed = request.idempotencyKey !== undefined;
    this.#effects.push(createDoorNote(request, reason));
    this.#refuse(request.id, {
      reason,
      outcome: isKeyed ? "unknown" : "not-run",
      submission: "not-run",
    });
  }

  #fail(inFlight: InFlightRequest, failure: Failure, now: number): void {
    this.#end(inFlight);
    this.#noteFailure(inFlight, failure, now);
    if (inFlight.isStreaming) {
      this.#effects.push({ kind: "count_refusal", reason: failure.reason });
      this.#effects.push({
        kind: "cut_answer",
        requestId: inFlight.request.id,
      });
      return;
    }
    this.#refuse(inFlight.request.id, overAllAttempts(inFlight, failure));
  }

  #refuse(requestId: number, failure: Failure): void {
    this.#effects.push({ kind: "count_refusal", reason: failure.reason });
    this.#effects.push({
      kind: "refuse_request",
      requestId,
      problem: createProblem(failure.reason, failure),
    });
  }

  #end(inFlight: InFlightRequest): void {
    this.#leaveTarget(inFlight);
    this.#inFlight.delete(inFlight.request.id);
    this.#admission.release(inFlight.route);
  }

  #leaveTarget(inFlight: InFlightRequest): void {
    if (inFlight.targetName === undefined) return;
    this.#registry.tryGet(inFlight.targetName)
      ?.removeInFlight(inFlight.request.id);
  }

  #budgetOf(route: Route): RetryBudget {
    let budget = this.#budgets.get(route.servicePath);
    if (budget === undefined) {
      budget = new RetryBudget(route.service.retryShare);
      this.#budgets.set(route.servicePath, budget);
    }
    return budget;
  }

  #checkDrained(): void {
    if (!this.#isDraining || this.#saidDrained || this.inFlight > 0) return;
    this.#saidDrained = true;
    this.#effects.push({ kind: "drained" });
  }
}

/**
 * That the last attempt was not run says nothing of the ones before it, and its
 * status may promise that nothing ran.
 */
function overAllAttempts(
  inFlight: InFlightRequest,
  failure: Failure,
): Failure {
  const isSettled = !inFlight.mayHaveRun || failure.submission === "unknown";
  if (isSettled) return failure;
  return {
    reason: "ATTEMPTS_INCONCLUSIVE",
    outcome: "unknown",
    submission: "unknown",
  };
}

/** Refusals that say something about the target, not about the request. */
function isTargetsFault(reason: RefusalName): boolean {
  return reason === "BACK_END_FAILED" || reason === "BACK_END_UNREACHABLE" ||
    reason === "QUEUE_FULL" || reason === "TARGET_LEAVING" ||
    reason === "BACK_END_FULL";
}
