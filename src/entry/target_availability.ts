/**
 * Whether a target may be sent a request now.
 *
 * Everything that forbids or limits sends to a target is asked here, and by every kind of
 * send: what lists, settings and the target itself say of its leaving, drains of its failure
 * domain, its rank group, what cannot be reached, and limits of what it takes. Load and
 * preference among the targets that are left are the matter of `target_selection.ts`.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { RandomSource } from "../core/random_source.ts";
import { DomainDrains } from "../policy/domain_drains.ts";
import { DomainReachability } from "../policy/domain_reachability.ts";
import type { SendLimits } from "../policy/send_limits.ts";
import { type PermitQuestion, SendPermits } from "../policy/send_permits.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";

/** Why no target can be sent a request now. */
export type NoTargetReason =
  | "NO_TARGET"
  | "NO_KEY_OWNER"
  | "DOMAINS_DRAINED"
  | "GROUP_CLOSED"
  | "GROUP_STALLED"
  | "TARGETS_UNREACHABLE"
  | "POOL_FULL"
  | "GROUP_BUSY"
  | "TARGETS_LIMITED";

/** What a {@link TargetAvailability} works with. */
export interface TargetAvailabilityOptions {
  /** The targets that are known. */
  readonly registry: TargetRegistry;
  readonly random: RandomSource;
  /** Tells entries apart that share the limits of targets. */
  readonly entryName: string;
  /** The limits on what targets are sent. */
  readonly limits: SendLimits;
}

/** Says which targets may be sent a request now. */
export class TargetAvailability {
  /** Who may send to targets that have limits. */
  readonly permits: SendPermits;
  /** Which failure domains this entry cannot reach. */
  readonly reachability = new DomainReachability();
  /** Which failure domains are drained or return. */
  readonly drains: DomainDrains;
  readonly #registry: TargetRegistry;
  readonly #limits: SendLimits;

  /** Asks about the targets of a registry. */
  constructor(
    { registry, random, entryName, limits }: TargetAvailabilityOptions,
  ) {
    this.#registry = registry;
    this.#limits = limits;
    this.drains = new DomainDrains(random);
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
    const reachable = this.reachability.filter(running, now);
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
  checkOwner(
    owner: TargetRecord | undefined,
  ): Result<TargetRecord, NoTargetReason> {
    if (owner === undefined) return Err("NO_KEY_OWNER");
    return owner.isDrained ? Err("DOMAINS_DRAINED") : Ok(owner);
  }

  /** Whether some target that was not tried may be sent the request. */
  hasOther(inFlight: InFlightRequest, now: number): boolean {
    return this.listOpen(inFlight, now).isOk();
  }

  /** Whom to ask for permits that later requests to a pool may need. */
  tryPlanAhead(pool: string, now: number): PermitQuestion | undefined {
    if (this.#limits.isEmpty) return undefined;
    for (const { name } of this.#registry.servingOf(pool)) {
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

  #absenceReasonOf(pool: string): "NO_TARGET" | "DOMAINS_DRAINED" {
    return this.#registry.isDrainedWhole(pool)
      ? "DOMAINS_DRAINED"
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
