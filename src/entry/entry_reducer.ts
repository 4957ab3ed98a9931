/**
 * The reducer of the entry role: admits requests, selects targets, relays answers,
 * retries, and refuses.
 *
 * @module
 */
import { assertNever } from "../core/debug.ts";
import type { RandomSource } from "../core/random_source.ts";
import { isAttemptMessage } from "../messages/types.ts";
import { AnswerTimes } from "../policy/answer_times.ts";
import { ShutdownWindow } from "../policy/shutdown_window.ts";
import { PoolChoice } from "../policy/pool_choice.ts";
import type { PoolRetryLimits } from "../policy/pool_retry_budgets.ts";
import type { TargetChoice } from "../policy/target_choice.ts";
import type { SendPermits } from "../policy/send_permits.ts";
import { CombinedLimits } from "../policy/send_limits.ts";
import type { TargetLimits } from "../policy/target_limits.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import { Admission } from "./admission.ts";
import type { AdmissionGate } from "./admission_gate.ts";
import { AnswerReceiver } from "./answer_receiver.ts";
import { CrashWatch, type ReplicatedCrashes } from "./crash_watch.ts";
import { createCallerLeftRecord } from "./decision_records.ts";
import { DrainWatch } from "./drain_watch.ts";
import { createUnknownFailure } from "./failures.ts";
import { ForwardedRequests } from "./forwarded_requests.ts";
import { InFlightRequest } from "./in_flight_request.ts";
import { NoticeWatch } from "./notice_watch.ts";
import { RequestDispatcher } from "./request_dispatcher.ts";
import {
  createArrivalRefusal,
  createForwardEffect,
} from "./request_effects.ts";
import { RequestEndings } from "./request_endings.ts";
import { RetryPolicy } from "./retry_policy.ts";
import { SendRules } from "./send_rules.ts";
import type { TargetAvailability } from "./target_availability.ts";
import { TargetUpdater } from "./target_updater.ts";
import { TargetRegistry } from "./target_registry.ts";
import { TargetSelection } from "./target_selection.ts";
import type {
  CallerRequest,
  EntryEffect,
  EntryEvent,
  GroupObserved,
  RequestArrived,
  SettingsInForce,
  TargetMessageReceived,
} from "./types.ts";
import { WarmUpWatch } from "./warm_up_watch.ts";

/** Options of an {@link EntryReducer}. */
export interface EntryReducerOptions {
  readonly failureDomain: string;
  /** Name of the entry; selects its subset of the targets of a large pool. */
  readonly entryName?: string;
  readonly random: RandomSource;
  /** How targets are selected; by score by default. */
  readonly choice?: TargetChoice;
  /** Key of the request digests: the deployment's secret, which all entries share. */
  readonly digestKey?: string;
  /** Limits on the retries of all entries together; unlimited by default. */
  readonly poolRetries?: PoolRetryLimits;
}

/** Milliseconds between two comparisons of the targets of a pool. */
const COMPARISON_INTERVAL_MS = 500;

/** Reduces all events of the entry role to effects. */
export class EntryReducer {
  readonly #admission = new Admission();
  readonly #selection: TargetSelection;
  readonly #retries: RetryPolicy;
  readonly #pools: PoolChoice;
  readonly #dispatcher: RequestDispatcher;
  readonly #answers: AnswerReceiver;
  readonly #endings: RequestEndings;
  readonly #forwardedRequests = new ForwardedRequests(this.#admission);
  readonly #digestKey: string;
  readonly #crashes: CrashWatch;
  readonly #notices: NoticeWatch;
  readonly #drains: DrainWatch;
  /** Tracks which targets are warming up. */
  readonly warmUp = new WarmUpWatch();
  readonly #targetUpdates: TargetUpdater;
  readonly #shutdown = new ShutdownWindow();
  #isDraining = false;
  #isDrained = false;
  #comparedAt = 0;
  /** Effects of the event that is being reduced, in order. */
  readonly #effects: EntryEffect[] = [];

  /** Creates a reducer without settings or targets. */
  constructor(options: EntryReducerOptions) {
    const registry = new TargetRegistry();
    this.#notices = new NoticeWatch(registry.leaving);
    const { limits } = this.#notices;
    const sendLimits = new CombinedLimits(limits, this.warmUp.limits);
    this.#selection = new TargetSelection({
      ...options,
      registry,
      backoffs: this.#notices.backoffs,
      limits: sendLimits,
    });
    this.#drains = new DrainWatch(this.#availability.drains, this.registry);
    this.#pools = new PoolChoice(options.random);
    this.#retries = new RetryPolicy(options.poolRetries);
    this.#digestKey = options.digestKey ?? "";
    this.#crashes = new CrashWatch(
      options.entryName ?? "",
      (name) => this.registry.tryGet(name)?.answeredAt ?? 0,
    );
    this.#targetUpdates = new TargetUpdater({
      selection: this.#selection,
      crashes: this.#crashes,
      limits,
      warmUp: this.warmUp,
    });
    const answerTimes = new AnswerTimes();
    this.#dispatcher = new RequestDispatcher({
      answerTimes,
      selection: this.#selection,
      retries: this.#retries,
      crashes: this.#crashes,
      admission: this.#admission,
      drains: this.#drains,
      warmUp: this.warmUp,
      sendLimits,
      sendRules: new SendRules({
        answerTimes,
        crashes: this.#crashes,
        shutdown: this.#shutdown,
      }),
      effects: this.#effects,
    });
    this.#endings = new RequestEndings({
      dispatcher: this.#dispatcher,
      registry,
    });
    this.#answers = new AnswerReceiver({
      answerTimes,
      dispatcher: this.#dispatcher,
      notices: this.#notices,
      targetUpdates: this.#targetUpdates,
      crashes: this.#crashes,
      retries: this.#retries,
      effects: this.#effects,
    });
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#dispatcher.size + this.#forwardedRequests.size;
  }

  /** The recorded crashes of targets under requests. */
  get crashes(): ReplicatedCrashes {
    return this.#crashes;
  }

  /** The limits that targets announced. */
  get limits(): TargetLimits {
    return this.#notices.limits;
  }

  /** The notices that targets send with their answers. */
  get notices(): NoticeWatch {
    return this.#notices;
  }

  /** The permits to send to targets with limits. */
  get permits(): SendPermits {
    return this.#availability.permits;
  }

  /** Defers requests to rank groups that are near their capacity. */
  get gate(): AdmissionGate {
    return this.#selection.gate;
  }

  /** The known targets. */
  get registry(): TargetRegistry {
    return this.#selection.registry;
  }

  /**
   * Reduces one event and returns its effects, in order.
   *
   * @example
   * ```ts
   * for (const effect of reducer.reduce(event)) perform(effect);
   * ```
   */
  reduce(event: EntryEvent): readonly EntryEffect[] {
    this.#reduce(event);
    this.#checkDrained();
    return this.#effects.splice(0);
  }

  get #availability(): TargetAvailability {
    return this.#selection.availability;
  }

  #reduce(event: EntryEvent): void {
    switch (event.kind) {
      case "request_arrived":
        return this.#onRequestArrived(event);
      case "caller_gone":
        return this.#onCallerGone(event.requestId, event.now);
      case "caller_too_slow":
        return this.#onCallerTooSlow(event.requestId, event.now);
      case "target_connected":
        this.registry.connect(event.target).setNow(event.now);
        return;
      case "target_disconnected":
        return this.#onTargetDisconnected(event.targetName, event.now);
      case "message_received":
        return this.#onMessageReceived(event);
      case "machines_listed":
        return this.registry.setVirtualMachines(event.virtualMachines);
      case "settings_in_force":
        return this.#onSettingsInForce(event);
      case "scripts_finished":
        return this.#forwardedRequests.finish(event.requestId);
      case "instances_listed":
        this.#effects.push(...this.#targetUpdates.recordInstances(event));
        this.#effects.push(...this.#drains.onTargetsListed());
        return this.#dispatcher.submitWaiting(event.now);
      case "entries_listed":
        this.#selection.setEntries(event.entries, event.now);
        this.#crashes.setEntries(event.entries);
        return this.#retries.setEntries(event.entries, event.now);
      case "permits_told":
        this.permits.recordOutcome(event.outcome, event.now);
        return this.#dispatcher.submitWaiting(event.now);
      case "group_load_told":
        this.#effects.push(...this.#targetUpdates.recordGroupLoad(event));
        this.#dispatcher.rerouteFromSlowRanks(event.now);
        return this.#dispatcher.submitWaiting(event.now);
      case "crashes_told":
        this.#effects.push(...this.#crashes.mergeCrashes(event));
        return;
      case "limits_told":
        this.#effects.push(...this.#notices.mergeLimits(event));
        return this.#dispatcher.submitWaiting(event.now);
      case "leaving_told":
        this.#effects.push(...this.#notices.mergeLeaving(event));
        return;
      case "failure_domains_drained":
        this.#effects.push(...this.#drains.applyDrains(event));
        this.#dispatcher.submitWaiting(event.now);
        return this.#dispatcher.refuseExpired(event.now);
      case "ranks_listed":
        return this.registry.setRanks(event.ranks);
      case "group_seen":
        return this.#onGroupObserved(event);
      case "pool_retries_limited":
        return this.#retries.setLimits(event.limits);
      case "tick":
        return this.#onTick(event.now);
      case "shutdown_planned":
        return this.#shutdown.plan(event.endAt);
      case "drain_requested":
        this.#isDraining = true;
        return this.#shutdown.stopAccepting();
      case "shutdown_ended":
        return this.#endings.failAll(event.now);
      default:
        assertNever(event);
    }
  }

  #onGroupObserved(event: GroupObserved): void {
    const effects = this.#targetUpdates.recordGroupObservation(event);
    this.#effects.push(...effects);
    const hasOpened = effects.length > 0 && event.observation.isOpen;
    if (hasOpened) this.#dispatcher.submitWaiting(event.now);
  }

  /** Whether a request for which a target was selected may still be sent there. */
  mayBegin(targetName: string, now: number): boolean {
    return this.#availability.mayBegin(targetName, now);
  }

  #onRequestArrived({ request, now, readAt = now }: RequestArrived): void {
    if (this.#isDraining) return this.#refuse(request, "ENTRY_DRAINING");
    const admitted = this.#admission.admit(request, now);
    if (admitted.isErr()) return this.#refuse(request, admitted.error);
    const route = admitted.value;
    const deadlineMs = Math.min(
      request.deadlineMs ?? route.service.defaultDeadlineMs,
      route.service.longestDeadlineMs,
    );
    if (route.service.handover === "scripts") {
      this.#forwardedRequests.add(request.id, route);
      this.#effects.push(createForwardEffect(request, route, deadlineMs));
      return;
    }
    const pool = this.#pools.choose(route.service);
    const inFlight = new InFlightRequest(request, route, {
      arrivedAt: readAt,
      deadlineAt: readAt + deadlineMs,
      pool,
      poolPriorities: this.#admission.tryPrioritiesOf(pool),
      digestKey: this.#digestKey,
    });
    this.#retries.countRequest(inFlight, now);
    this.#crashes.recordArrival(inFlight);
    this.gate.recordArrival(inFlight, now);
    this.#dispatcher.add(inFlight, now);
  }

  #onMessageReceived(event: TargetMessageReceived): void {
    const target = this.registry.tryGet(event.targetName);
    if (target === undefined) return;
    const { message, now } = event;
    if (isAttemptMessage(message)) {
      return this.#answers.receive(message, target, now);
    }
    this.#targetUpdates.recordMessage(message, { target, now });
  }

  #onTargetDisconnected(targetName: string, now: number): void {
    this.registry.tryGet(targetName)?.disconnect();
    this.#selection.forgetTarget(targetName);
    for (const inFlight of this.#dispatcher.inFlight) {
      if (inFlight.targetName !== targetName) continue;
      this.#dispatcher.onAttemptFailed(
        inFlight,
        createUnknownFailure("TARGET_LOST"),
        now,
      );
    }
  }

  #onCallerGone(requestId: number, now: number): void {
    const inFlight = this.#dispatcher.tryGet(requestId);
    if (inFlight === undefined) return;
    this.#dispatcher.recordLostAttempt(inFlight, { now, isBroken: false });
    this.#dispatcher.cancel(inFlight);
    this.#effects.push(createCallerLeftRecord(inFlight));
    this.#dispatcher.drop(inFlight, now);
  }

  #onCallerTooSlow(requestId: number, now: number): void {
    const inFlight = this.#dispatcher.tryGet(requestId);
    if (inFlight === undefined) return;
    this.#dispatcher.cancel(inFlight);
    this.#dispatcher.fail(
      inFlight,
      createUnknownFailure("CALLER_TOO_SLOW"),
      now,
    );
  }

  #onSettingsInForce(event: SettingsInForce): void {
    const { routes, changed, now, groups } = event;
    if (groups !== undefined) this.gate.setGroups(groups);
    this.#admission.setRoutes(routes);
    this.#effects.push(...this.warmUp.applySettings(event));
    this.registry.setLeavingBySettings(event.leavingTargets ?? new Set());
    const changedRoutes = changed === undefined
      ? routes.routes()
      : changed.flatMap((path) => routes.tryGet(path) ?? []);
    for (const route of changedRoutes) {
      this.#admission.setLimits(route, now);
      this.#retries.setRoute(route);
    }
  }

  #onTick(now: number): void {
    this.#effects.push(...this.warmUp.advanceTo(now));
    this.#effects.push(...this.#notices.advanceTo(now));
    this.#effects.push(...this.#crashes.advanceTo(now));
    if (now - this.#comparedAt >= COMPARISON_INTERVAL_MS) {
      this.#comparedAt = now;
      this.registry.updateSlowness(now);
    }
    this.#dispatcher.refuseExpired(now);
    this.#dispatcher.submitWaiting(now);
    this.#endings.failExpired(now);
  }

  #refuse(request: CallerRequest, reason: RefusalName): void {
    this.#effects.push(...createArrivalRefusal(request, reason));
  }

  #checkDrained(): void {
    if (!this.#isDraining || this.#isDrained || this.inFlight > 0) return;
    this.#isDrained = true;
    this.#effects.push({ kind: "drained" });
  }
}
