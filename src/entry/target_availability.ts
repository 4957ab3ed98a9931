/**
 * Determines whether a target may be sent a request now.
 *
 * All conditions that forbid or limit requests to a target are checked here, whatever the
 * kind of send: whether lists, settings or its own announcement show it as leaving, drains
 * of its failure domain, the state of its rank group, backoffs that it requested,
 * unreachable failure domains, and its rate limits. `target_selection.ts` chooses among
 * the targets that remain, by load and preference.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { getKeyFingerprint, getKeySlot } from "../core/idempotency_key.ts";
import type { RandomSource } from "../core/random_source.ts";
import { DomainDrains } from "../policy/domain_drains.ts";
import { DomainReachability } from "../policy/domain_reachability.ts";
import type { SendLimits } from "../policy/send_limits.ts";
import { type PermitRequest, SendPermits } from "../policy/send_permits.ts";
import type { TargetBackoffs } from "../policy/target_backoffs.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";

/** Number of steps between 0 and 1 in which random fractions are sampled. */
const SAMPLE_STEPS = 1_000_000;

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

/** Why no target can be sent a request now, and for how long if that is known. */
export interface Unavailability {
  readonly reason: NoTargetReason;
  /** Milliseconds after which a target may accept the request. */
  readonly freeInMs?: number;
  /**
   * Milliseconds after that time over which the retries of refused callers are spread.
   */
  readonly spreadMs?: number;
}

/** Options of a {@link TargetAvailability}. */
export interface TargetAvailabilityOptions {
  /** The targets that are known. */
  readonly registry: TargetRegistry;
  readonly random: RandomSource;
  /** Identifies this entry among those that share the limits of targets. */
  readonly entryName: string;
  /** The rate limits of targets. */
  readonly limits: SendLimits;
  /** The backoffs that targets requested from this entry. */
  readonly backoffs: TargetBackoffs;
}

/** Determines which targets may be sent a request now. */
export class TargetAvailability {
  /** Permits to send to targets that have limits. */
  readonly permits: SendPermits;
  /** Which failure domains this entry cannot reach. */
  readonly reachability = new DomainReachability();
  /** Which failure domains are drained, or ramp up after a drain. */
  readonly drains = new DomainDrains();
  readonly #registry: TargetRegistry;
  readonly #limits: SendLimits;
  readonly #backoffs: TargetBackoffs;
  readonly #random: RandomSource;

  /** Creates the availability of the targets of a registry. */
  constructor(options: TargetAvailabilityOptions) {
    const { registry, random, entryName, limits, backoffs } = options;
    this.#registry = registry;
    this.#limits = limits;
    this.#backoffs = backoffs;
    this.#random = random;
    this.permits = new SendPermits(entryName, limits);
  }

  /** Returns the serving targets of a pool that no attempt of the request was sent to. */
  listUntriedServing(inFlight: InFlightRequest): readonly TargetRecord[] {
    return this.#registry.servingOf(inFlight.pool)
      .filter(({ name }) => !inFlight.hasTried(name));
  }

  /**
   * Returns the targets that a request may be sent to, regardless of their limits: at
   * least one, or the reason why there is none.
   */
  listEligible(
    inFlight: InFlightRequest,
    now: number,
  ): Result<readonly TargetRecord[], NoTargetReason> {
    const serving = this.listUntriedServing(inFlight);
    if (serving.length === 0) return Err(this.#absenceReasonOf(inFlight.pool));
    const running = serving.filter((target) => !target.isGroupClosed(now));
    if (running.length === 0) return Err(this.#closedReasonOf(serving));
    const notBackingOff = this.#backoffs.isIdle
      ? running
      : running.filter(({ name }) => !this.#isBackingOff(name, now));
    if (notBackingOff.length === 0) return Err("TARGETS_BACKING_OFF");
    const reachable = this.reachability.filter(notBackingOff, now);
    return reachable.length === 0 ? Err("TARGETS_UNREACHABLE") : Ok(reachable);
  }

  /** Returns those of the targets whose limits allow one more request now. */
  filterPermitted(
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    return targets.filter(({ name }) => this.permits.maySend(name, now));
  }

  /**
   * Returns the owner of a request's idempotency key, even if it is leaving: the request
   * may run at no other target.
   */
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
   * Whether a request may still be sent to the target that was chosen for it earlier.
   * Checked before its first byte is sent, as establishing the connection can take long.
   */
  mayBegin(targetName: string, now: number): boolean {
    const target = this.#registry.tryGet(targetName);
    return target !== undefined && this.#registry.isServing(target) &&
      !this.#isBackingOff(targetName, now);
  }

  /**
   * Returns the targets that are candidates for one request. A target that ramps up after
   * a drain or a backoff is a candidate for its share of requests only, unless there is
   * no other target.
   */
  filterByRampUpShare(
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    // Pools may be large, and usually none of their targets ramps up.
    if (this.#backoffs.isIdle && this.drains.isIdle(now)) return targets;
    const shares = targets.map((target) => this.getShare(target, now));
    if (shares.every((share) => share >= 1)) return targets;
    const sample = this.#random.nextBelow(SAMPLE_STEPS) / SAMPLE_STEPS;
    const candidates = targets.filter((_, index) =>
      sample < (shares[index] ?? 1)
    );
    return candidates.length > 0 ? candidates : targets;
  }

  /**
   * Returns those of the targets that a request may be sent to after it has waited. All
   * requests that wait for the end of a backoff would otherwise be sent at that moment to
   * the first target whose backoff ends. That target gets them as its share grows, one at
   * a time at first.
   */
  filterForWaitingRequest(
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    if (this.#backoffs.isIdle) return targets;
    return targets.filter(({ name, concurrency, ownInFlight }) => {
      const share = this.#backoffs.getShare(name, now);
      return share >= 1 || ownInFlight < Math.max(1, share * concurrency);
    });
  }

  /** Returns the fraction of requests for which a target is a candidate, from 0 to 1. */
  getShare({ name, failureDomain }: TargetRecord, now: number): number {
    return Math.min(
      this.drains.getShare(failureDomain, now),
      this.#backoffs.getShare(name, now),
    );
  }

  /**
   * Completes the reason why a request has no target with the time until one may be
   * available, if that is known.
   */
  describeUnavailability(
    inFlight: InFlightRequest,
    reason: NoTargetReason,
    now: number,
  ): Unavailability {
    if (reason !== "TARGETS_BACKING_OFF") return { reason };
    const backoffs = this.#listCandidates(inFlight)
      .map(({ name }) => ({
        freeInMs: this.#backoffs.getRemainingMs(name, now),
        spreadMs: this.#backoffs.getRampUpMs(name),
      }))
      .filter(({ freeInMs }) => freeInMs > 0)
      .sort((left, right) => left.freeInMs - right.freeInMs);
    return { reason, ...backoffs[0] };
  }

  /**
   * Returns a random retry delay for a refused caller, in milliseconds; undefined if it
   * is not known when a target is available. The retries that follow the end of one
   * backoff are spread over the time in which its target ramps up.
   */
  trySampleRetryDelayMs(
    { freeInMs, spreadMs = 0 }: Unavailability,
  ): number | undefined {
    if (freeInMs === undefined) return undefined;
    return freeInMs +
      spreadMs * this.#random.nextBelow(SAMPLE_STEPS) / SAMPLE_STEPS;
  }

  /**
   * Whether all serving targets of a pool, tried or not, are in a backoff.
   */
  isWholePoolBackingOff(pool: string, now: number): boolean {
    if (this.#backoffs.isIdle) return false;
    const serving = this.#registry.servingOf(pool);
    return serving.length > 0 &&
      serving.every(({ name }) => this.#isBackingOff(name, now));
  }

  /**
   * Returns the targets that may run a request when its caller retries: for a request
   * with an idempotency key only the owner of the key, otherwise the targets that were
   * not tried, or all serving targets if each of them was tried.
   */
  #listCandidates(inFlight: InFlightRequest): readonly TargetRecord[] {
    if (inFlight.request.idempotencyKey !== undefined) {
      const owner = this.#tryOwner(inFlight);
      return owner === undefined ? [] : [owner];
    }
    const untried = this.listUntriedServing(inFlight);
    return untried.length > 0
      ? untried
      : this.#registry.servingOf(inFlight.pool);
  }

  #isBackingOff(targetName: string, now: number): boolean {
    return this.#backoffs.getRemainingMs(targetName, now) > 0;
  }

  #tryOwner({ request, route }: InFlightRequest): TargetRecord | undefined {
    const slot = getKeySlot(getKeyFingerprint({
      organisation: route.organisation,
      service: route.servicePath,
      idempotencyKey: request.idempotencyKey as string,
    }));
    return this.#registry.tryOwner(route.service.pool, slot);
  }

  /** Whether a target that was not tried may be sent the request. */
  hasAlternative(inFlight: InFlightRequest, now: number): boolean {
    return this.listEligible(inFlight, now).isOk();
  }

  /**
   * Returns a permit request for later requests to a pool; undefined if none is needed.
   */
  tryPlanAhead(pool: string, now: number): PermitRequest | undefined {
    if (this.#limits.isEmpty) return undefined;
    for (const { name } of this.#registry.servingOf(pool)) {
      if (this.#isBackingOff(name, now)) continue;
      const permitRequest = this.permits.tryPlanPrefetch(name, now);
      if (permitRequest !== undefined) return permitRequest;
    }
    return undefined;
  }

  /** Records that a request is sent to a target. */
  recordSent(target: TargetRecord, now: number): void {
    this.permits.recordSent(target.name, now);
    this.reachability.recordSent(target, now);
  }

  /**
   * Returns the reason for which a request whose attempt was refused may wait for a
   * target; undefined if the refusal concerns that target only.
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

  /**
   * Whether the groups of all targets that could serve the request are closed, but at
   * least one of these groups is not known to have lost a rank.
   */
  #isStalled(inFlight: InFlightRequest, now: number): boolean {
    const serving = this.listUntriedServing(inFlight);
    return serving.length > 0 &&
      serving.every((target) => target.isGroupClosed(now)) &&
      this.#closedReasonOf(serving) === "GROUP_STALLED";
  }

  #absenceReasonOf(pool: string): NoTargetReason {
    if (this.#registry.isPoolDrained(pool)) return "DOMAINS_DRAINED";
    return this.#registry.isPoolLeaving(pool) ? "TARGETS_LEAVING" : "NO_TARGET";
  }

  /**
   * Returns the reason why targets whose groups are all closed cannot be sent a request.
   */
  #closedReasonOf(
    closed: readonly TargetRecord[],
  ): "GROUP_CLOSED" | "GROUP_STALLED" {
    const groups = new Set(closed.flatMap(({ group }) => group?.name ?? []));
    const mayRunSoon = [...groups].some((name) =>
      this.#registry.groups.isComplete(name)
    );
    return mayRunSoon ? "GROUP_STALLED" : "GROUP_CLOSED";
  }
}
