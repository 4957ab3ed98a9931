/**
 * Whether a target may be sent a request now.
 *
 * Everything that forbids or limits sends to a target is asked here, and by every kind of
 * send: what lists, settings and the target itself say of its leaving, drains of its failure
 * domain, its rank group, backoffs that it asked for, what cannot be reached, and limits of
 * what it takes. Load and preference among the targets that are left are the matter of
 * `target_selection.ts`.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { fingerprintOf, slotOf } from "../core/idempotency_key.ts";
import type { RandomSource } from "../core/random_source.ts";
import { DomainDrains } from "../policy/domain_drains.ts";
import { DomainReachability } from "../policy/domain_reachability.ts";
import type { SendLimits } from "../policy/send_limits.ts";
import { type PermitQuestion, SendPermits } from "../policy/send_permits.ts";
import type { TargetBackoffs } from "../policy/target_backoffs.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";

/** Steps between 0 and 1 in which a share is drawn. */
const DRAW_STEPS = 1_000_000;

/** Why no target can be sent a request now. */
export type NoTargetReason =
  | "NO_TARGET"
  | "NO_KEY_OWNER"
  | "DOMAINS_DRAINED"
  | "GROUP_CLOSED"
  | "GROUP_STALLED"
  | "TARGETS_LEAVING"
  | "TARGETS_UNREACHABLE"
  | "POOL_FULL"
  | "GROUP_BUSY"
  | "TARGETS_BACKING_OFF"
  | "TARGETS_LIMITED";

/** Why no target can be sent a request now, and for how long as far as that is known. */
export interface Unavailability {
  readonly reason: NoTargetReason;
  /** Milliseconds after which a target may take it. */
  readonly freeInMs?: number;
  /** Milliseconds from then on over which those who were refused are to return. */
  readonly spreadMs?: number;
}

/** What a {@link TargetAvailability} works with. */
export interface TargetAvailabilityOptions {
  /** The targets that are known. */
  readonly registry: TargetRegistry;
  readonly random: RandomSource;
  /** Tells entries apart that share the limits of targets. */
  readonly entryName: string;
  /** The limits on what targets are sent. */
  readonly limits: SendLimits;
  /** The backoffs that targets ask this entry for. */
  readonly backoffs: TargetBackoffs;
}

/** Says which targets may be sent a request now. */
export class TargetAvailability {
  /** Who may send to targets that have limits. */
  readonly permits: SendPermits;
  /** Which failure domains this entry cannot reach. */
  readonly reachability = new DomainReachability();
  /** Which failure domains are drained or return. */
  readonly drains = new DomainDrains();
  readonly #registry: TargetRegistry;
  readonly #limits: SendLimits;
  readonly #backoffs: TargetBackoffs;
  readonly #random: RandomSource;

  /** Asks about the targets of a registry. */
  constructor(options: TargetAvailabilityOptions) {
    const { registry, random, entryName, limits, backoffs } = options;
    this.#registry = registry;
    this.#limits = limits;
    this.#backoffs = backoffs;
    this.#random = random;
    this.permits = new SendPermits(entryName, limits);
  }

  /** Targets that serve a request's pool and were not tried with it. */
  listServing(inFlight: InFlightRequest): readonly TargetRecord[] {
    return this.#registry.servingOf(inFlight.pool)
      .filter(({ name }) => !inFlight.hasTried(name));
  }

  /** Targets that a request may be sent to, as far as limits allow; at least one. */
  listOpen(
    inFlight: InFlightRequest,
    now: number,
  ): Result<readonly TargetRecord[], NoTargetReason> {
    const serving = this.listServing(inFlight);
    if (serving.length === 0) return Err(this.#absenceReasonOf(inFlight.pool));
    const running = serving.filter((target) => !target.isGroupClosed(now));
    if (running.length === 0) return Err(this.#closedReasonOf(serving));
    const willing = this.#backoffs.isIdle
      ? running
      : running.filter(({ name }) => !this.#isBackingOff(name, now));
    if (willing.length === 0) return Err("TARGETS_BACKING_OFF");
    const reachable = this.reachability.filter(willing, now);
    return reachable.length === 0 ? Err("TARGETS_UNREACHABLE") : Ok(reachable);
  }

  /** Those of the targets whose limits allow one more request now. */
  filterPermitted(
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    return targets.filter(({ name }) => this.permits.maySend(name, now));
  }

  /** The owner of a request's key, leaving or not: a key may run nowhere else. */
  findOwner(
    inFlight: InFlightRequest,
    now: number,
  ): Result<TargetRecord, NoTargetReason> {
    const owner = this.#tryOwner(inFlight);
    if (owner === undefined) return Err("NO_KEY_OWNER");
    if (owner.isDrained) return Err("DOMAINS_DRAINED");
    const isBackingOff = this.#isBackingOff(owner.name, now);
    return isBackingOff ? Err("TARGETS_BACKING_OFF") : Ok(owner);
  }

  /**
   * Whether a request that was chosen for a target earlier may still be sent there. Asked
   * before its first byte, as its connection may have taken long to make.
   */
  mayBegin(targetName: string, now: number): boolean {
    const target = this.#registry.tryGet(targetName);
    return target !== undefined && this.#registry.isServing(target) &&
      !this.#isBackingOff(targetName, now);
  }

  /**
   * The targets that one request may go to while others take up their load again: each that
   * returns from a drain or a backoff only for its share of requests, unless there are no
   * others.
   */
  limitReturning(
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    // Pools may be large, and mostly nothing returns.
    if (this.#backoffs.isIdle && this.drains.isIdle(now)) return targets;
    const shares = targets.map((target) => this.getShare(target, now));
    if (shares.every((share) => share >= 1)) return targets;
    const drawn = this.#random.nextBelow(DRAW_STEPS) / DRAW_STEPS;
    const admitted = targets.filter((_, index) => drawn < (shares[index] ?? 1));
    return admitted.length > 0 ? admitted : targets;
  }

  /**
   * Those of the targets to which a request may go that has waited. All that waited for the end
   * of a backoff would go at that moment, to the target that is back first; it takes them as its
   * share grows, one at a time at first.
   */
  filterForWaiting(
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    if (this.#backoffs.isIdle) return targets;
    return targets.filter(({ name, concurrency, ownInFlight }) => {
      const share = this.#backoffs.getShare(name, now);
      return share >= 1 || ownInFlight < Math.max(1, share * concurrency);
    });
  }

  /** Fraction of requests for which a target is a candidate, from 0 to 1. */
  getShare({ name, failureDomain }: TargetRecord, now: number): number {
    return Math.min(
      this.drains.getShare(failureDomain, now),
      this.#backoffs.getShare(name, now),
    );
  }

  /** What the reason for which a request found no target says of when one may take it. */
  describe(
    inFlight: InFlightRequest,
    reason: NoTargetReason,
    now: number,
  ): Unavailability {
    if (reason !== "TARGETS_BACKING_OFF") return { reason };
    const backoffs = this.#listCandidates(inFlight)
      .map(({ name }) => ({
        freeInMs: this.#backoffs.getRemainingMs(name, now),
        spreadMs: this.#backoffs.getReturnMs(name),
      }))
      .filter(({ freeInMs }) => freeInMs > 0)
      .sort((left, right) => left.freeInMs - right.freeInMs);
    return { reason, ...backoffs[0] };
  }

  /**
   * Milliseconds after which a caller is told to return, where it is known when a target is
   * free: all who are told of one end come back over as long as the load does.
   */
  tryDrawReturnMs(
    { freeInMs, spreadMs = 0 }: Unavailability,
  ): number | undefined {
    if (freeInMs === undefined) return undefined;
    return freeInMs +
      spreadMs * this.#random.nextBelow(DRAW_STEPS) / DRAW_STEPS;
  }

  /** Whether all targets that serve a pool back off, those that were tried, too. */
  isBackingOffWhole(pool: string, now: number): boolean {
    if (this.#backoffs.isIdle) return false;
    const serving = this.#registry.servingOf(pool);
    return serving.length > 0 &&
      serving.every(({ name }) => this.#isBackingOff(name, now));
  }

  /**
   * Targets that may run it when its caller returns: of a keyed request its owner alone. Those
   * that were tried may, too, where no other is left.
   */
  #listCandidates(inFlight: InFlightRequest): readonly TargetRecord[] {
    if (inFlight.request.idempotencyKey !== undefined) {
      const owner = this.#tryOwner(inFlight);
      return owner === undefined ? [] : [owner];
    }
    const untried = this.listServing(inFlight);
    return untried.length > 0
      ? untried
      : this.#registry.servingOf(inFlight.pool);
  }

  #isBackingOff(targetName: string, now: number): boolean {
    return this.#backoffs.getRemainingMs(targetName, now) > 0;
  }

  #tryOwner({ request, route }: InFlightRequest): TargetRecord | undefined {
    const slot = slotOf(fingerprintOf({
      organisation: route.organisation,
      service: route.servicePath,
      idempotencyKey: request.idempotencyKey as string,
    }));
    return this.#registry.tryOwner(route.service.pool, slot);
  }

  /** Whether some target that was not tried may be sent the request. */
  hasOther(inFlight: InFlightRequest, now: number): boolean {
    return this.listOpen(inFlight, now).isOk();
  }

  /** Whom to ask for permits that later requests to a pool may need. */
  tryPlanAhead(pool: string, now: number): PermitQuestion | undefined {
    if (this.#limits.isEmpty) return undefined;
    for (const { name } of this.#registry.servingOf(pool)) {
      if (this.#isBackingOff(name, now)) continue;
      const question = this.permits.tryPlanAhead(name, now);
      if (question !== undefined) return question;
    }
    return undefined;
  }

  /** A request goes to a target. */
  noteSent(target: TargetRecord, now: number): void {
    this.permits.noteSent(target.name, now);
    this.reachability.noteSent(target, now);
  }

  /**
   * Reason for which a request whose attempt was refused may wait for a target; undefined
   * where the refusal concerns that target only.
   */
  tryWaitReasonOf(
    inFlight: InFlightRequest,
    refusal: RefusalName,
    now: number,
  ): NoTargetReason | undefined {
    if (refusal === "BACK_END_UNREACHABLE") return "TARGETS_UNREACHABLE";
    if (refusal !== "GROUP_CLOSED") return undefined;
    return this.#isStalled(inFlight, now) ? "GROUP_STALLED" : refusal;
  }

  /** Whether all that could serve it stand still, though none is known to be lost. */
  #isStalled(inFlight: InFlightRequest, now: number): boolean {
    const serving = this.listServing(inFlight);
    return serving.length > 0 &&
      serving.every((target) => target.isGroupClosed(now)) &&
      this.#closedReasonOf(serving) === "GROUP_STALLED";
  }

  #absenceReasonOf(pool: string): NoTargetReason {
    if (this.#registry.isDrainedWhole(pool)) return "DOMAINS_DRAINED";
    return this.#registry.isLeavingWhole(pool)
      ? "TARGETS_LEAVING"
      : "NO_TARGET";
  }

  /** Why targets cannot be sent a request whose groups are all known not to run. */
  #closedReasonOf(
    closed: readonly TargetRecord[],
  ): "GROUP_CLOSED" | "GROUP_STALLED" {
    const groups = new Set(closed.flatMap(({ group }) => group?.name ?? []));
    const mayRunSoon = [...groups].some((name) =>
      this.#registry.groups.isWhole(name)
    );
    return mayRunSoon ? "GROUP_STALLED" : "GROUP_CLOSED";
  }
}
