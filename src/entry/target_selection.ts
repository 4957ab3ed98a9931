/**
 * Finds the target of a request, or says why there is none now.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { RandomSource } from "../core/random_source.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { getBlindLimit } from "../policy/blind_limit.ts";
import { PrefixIndex } from "../policy/prefix_index.ts";
import {
  estimateLoad,
  ScoredChoice,
  type TargetChoice,
} from "../policy/target_choice.ts";
import type { PermitPlan } from "../policy/send_permits.ts";
import type { SendLimits } from "../policy/send_limits.ts";
import type { TargetBackoffs } from "../policy/target_backoffs.ts";
import { chooseSubset } from "../policy/target_subset.ts";
import { AdmissionGate } from "./admission_gate.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import {
  type NoTargetReason,
  TargetAvailability,
} from "./target_availability.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";

/** Options of a {@link TargetSelection}. */
export interface TargetSelectionOptions {
  readonly failureDomain: string;
  readonly random: RandomSource;
  /** How targets are chosen; scored by default. */
  readonly choice?: TargetChoice;
  /** Tells entries apart; needed for a view of part of a pool, and for limits of targets. */
  readonly entryName?: string;
  /** The targets that are known. */
  readonly registry: TargetRegistry;
  /** The limits on what targets are sent. */
  readonly limits: SendLimits;
  /** The backoffs that targets ask this entry for. */
  readonly backoffs: TargetBackoffs;
}

/**
 * Targets of a pool that are sent requests while one of them is free. A connection to each
 * of a large pool is used so seldom that it ends in between. Smaller pools are in view as
 * a whole.
 */
const TARGETS_IN_VIEW = 24;
/**
 * Requests for each place at which a target whose load is known counts as full.
 * A quarter more than its places wait there for the next place to get free,
 * which takes about a fifth of a second; more would wait longer than callers do.
 */
const FULL_LOAD = 1.25;
/** Milliseconds for which a reported load is taken for the load. */
const REPORT_LIMIT_MS = 1000;
/**
 * Milliseconds after which nothing is known of a pool's load. A decider says nothing while
 * it plans, which takes longest as it starts.
 */
const BLIND_AFTER_MS = 2500;

/** Finds the target of a request. */
export class TargetSelection {
  readonly registry: TargetRegistry;
  /** Which targets may be sent a request now. */
  readonly availability: TargetAvailability;
  /** Holds back the least urgent requests from groups near their capacity. */
  readonly gate: AdmissionGate;
  readonly #failureDomain: string;
  readonly #entryName: string;
  /** Names of the targets in view. */
  #inView: ReadonlySet<string> = new Set();
  /** Names of all targets that the view was chosen from. */
  #viewedNames = "";
  readonly #choice: TargetChoice;
  /** Entries of the fleet, this one included. */
  #entries: number | undefined;
  readonly #prefixes = new PrefixIndex();

  /** Begins without targets. */
  constructor(options: TargetSelectionOptions) {
    this.registry = options.registry;
    this.#failureDomain = options.failureDomain;
    this.#entryName = options.entryName ?? "";
    this.#choice = options.choice ?? new ScoredChoice(options.random);
    this.gate = new AdmissionGate(options);
    const entryName = this.#entryName;
    this.availability = new TargetAvailability({ ...options, entryName });
  }

  /** The target that the request goes to next; it may be one that waited for a target. */
  select(
    inFlight: InFlightRequest,
    now: number,
    { hasWaited = false }: { readonly hasWaited?: boolean } = {},
  ): Result<TargetRecord, NoTargetReason> {
    if (inFlight.request.idempotencyKey !== undefined) {
      return this.availability.findOwner(inFlight, now);
    }
    const open = this.availability.listOpen(inFlight, now);
    if (open.isErr()) return open;
    const admitted = this.gate.admit(inFlight, open.value, {
      now,
      members: this.registry.servingOf(inFlight.pool),
    });
    if (admitted.length === 0) return Err("GROUP_BUSY");
    const free = admitted.filter((target) =>
      !isFull(target, now) && mayBeSent(inFlight, target, now)
    );
    if (free.length === 0) return Err("POOL_FULL");
    if (this.#isBlindlyFull(inFlight, now)) return Err("POOL_FULL");
    const permitted = this.availability.filterPermitted(free, now);
    if (permitted.length === 0) return Err("TARGETS_LIMITED");
    const available = hasWaited
      ? this.availability.filterForWaiting(permitted, now)
      : permitted;
    if (available.length === 0) return Err("POOL_FULL");
    const brisk = available.filter((target) => !target.isStraggler);
    const { permits } = this.availability;
    const candidates = this.availability.limitReturning(
      brisk.length > 0 ? brisk : available,
      now,
    );
    const due = candidates.find(({ name }) => permits.isDue(name, now));
    if (due !== undefined) return Ok(due);
    const inView = candidates.filter(({ name }) => this.#inView.has(name));
    const target = this.#choose(
      inView.length > 0 ? inView : candidates,
      inFlight,
      now,
    );
    return target === undefined ? Err("NO_TARGET") : Ok(target);
  }

  /** These entries send requests, this one included. */
  setEntries(entries: readonly string[], now: number): void {
    this.#entries = entries.length;
    this.availability.permits.setEntries(entries, now);
  }

  /** How some requests like this one may be sent to targets all of which have limits. */
  planPermits(
    inFlight: InFlightRequest,
    count: number,
    now: number,
  ): PermitPlan {
    const open = this.availability.listOpen(inFlight, now).unwrapOr([]);
    const targets = open.filter((target) => !isFull(target, now))
      .sort((left, right) => estimateLoad(left) - estimateLoad(right));
    const names = targets.map(({ name }) => name);
    return this.availability.permits.plan(names, count, now);
  }

  /**
   * Whether this entry has its share of a pool of rank groups none of which has told its
   * load lately. Only there one request more delays all others.
   */
  #isBlindlyFull(inFlight: InFlightRequest, now: number): boolean {
    const { pauseObjectiveMs } = inFlight.route.service;
    if (pauseObjectiveMs === undefined) return false;
    const serving = this.availability.listServing(inFlight);
    const areRanks = serving.some(({ group }) => group !== undefined);
    const isKnown = serving.some((target) =>
      wasLoadTold(target, { withinMs: BLIND_AFTER_MS, now })
    );
    if (!areRanks || isKnown) return false;
    const sumOf = (read: (target: TargetRecord) => number) =>
      serving.reduce((sum, target) => sum + read(target), 0);
    const limit = getBlindLimit({
      places: sumOf(({ concurrency }) => concurrency),
      entries: this.#entries,
    });
    return sumOf(({ ownInFlight }) => ownInFlight) >= limit;
  }

  /** The back ends that are called directly were listed; returns those that are gone. */
  setInstances(
    instances: readonly BackEndInstance[],
    now: number,
  ): readonly TargetRecord[] {
    const ended = this.registry.setInstances(instances, now);
    this.#setView(instances);
    return ended;
  }

  #setView(instances: readonly BackEndInstance[]): void {
    const names = instances.map(({ id }) => id).sort().join(" ");
    if (names === this.#viewedNames) return;
    this.#viewedNames = names;
    const viewed = chooseSubset(
      instances.map(({ id, pool, failureDomain }) => ({
        name: id,
        pool,
        failureDomain,
      })),
      {
        entryName: this.#entryName,
        failureDomain: this.#failureDomain,
        limit: TARGETS_IN_VIEW,
      },
    );
    this.#inView = new Set(viewed.map(({ name }) => name));
  }

  /** A target was sent a request, and has its prompt from now on. */
  noteSent(inFlight: InFlightRequest, target: TargetRecord, now: number): void {
    const blocks = inFlight.request.prefixBlocks ?? [];
    this.#prefixes.remember(blocks, target.name);
    if (inFlight.isLateAt(now)) target.group?.lateAdmission.count();
    this.availability.noteSent(target, now);
  }

  /** A target was lost, and with it the prompts that it had. */
  forgetTarget(name: string): void {
    this.#prefixes.forgetTarget(name);
  }

  #choose(
    candidates: readonly TargetRecord[],
    inFlight: InFlightRequest,
    now: number,
  ): TargetRecord | undefined {
    const blocks = inFlight.request.prefixBlocks ?? [];
    const chosen = this.#choice.tryChoose(candidates, {
      now,
      failureDomain: this.#failureDomain,
      cachedBlocks: this.#prefixes.cachedBlocks(blocks),
      promptBlocks: blocks.length,
    });
    return chosen && this.registry.tryGet(chosen.name);
  }
}

/** Requests that are late already leave room for those that are not. */
function mayBeSent(
  inFlight: InFlightRequest,
  target: TargetRecord,
  now: number,
): boolean {
  const { group } = target;
  if (group === undefined || !inFlight.isLateAt(now)) return true;
  const { pauseObjectiveMs } = inFlight.route.service;
  return group.lateAdmission.isOpen(pauseObjectiveMs, {
    now,
    waitedMs: now - inFlight.arrivedAt,
    hasFreePlace: estimateLoad(target) < 1,
  });
}

/** Only a load that was told lately can refuse a request. */
function isFull(target: TargetRecord, now: number): boolean {
  if (!target.hasDecider) return false;
  const isKnown = wasLoadTold(target, { withinMs: REPORT_LIMIT_MS, now });
  return isKnown && estimateLoad(target) >= FULL_LOAD;
}

/** Whether its group's decider told its load within so many milliseconds. */
function wasLoadTold(
  { hasDecider, reportedAt }: TargetRecord,
  { withinMs, now }: { readonly withinMs: number; readonly now: number },
): boolean {
  return hasDecider && now - reportedAt < withinMs;
}
