/**
 * Selects the target of a request, or returns the reason why none is available now.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { RandomSource } from "../core/random_source.ts";
import type { BackEndInstance } from "../messages/back_end_instance.ts";
import { EntryCount } from "../policy/entry_count.ts";
import { getUnknownLoadLimit } from "../policy/unknown_load_limit.ts";
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
import type { GroupState } from "./group_state.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import {
  type NoTargetReason,
  TargetAvailability,
} from "./target_availability.ts";
import { countSlots, type TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";

/** The target of an attempt, or the reason why there is none now. */
export type Selection = Result<TargetRecord, NoTargetReason>;

/** Options of a {@link TargetSelection}. */
export interface TargetSelectionOptions {
  readonly failureDomain: string;
  readonly random: RandomSource;
  /** How a target is chosen among the candidates; by score if undefined. */
  readonly choice?: TargetChoice;
  /**
   * Identifies this entry among others. Required to choose a subset of a large pool, and
   * to share the limits of targets.
   */
  readonly entryName?: string;
  /** The targets that are known. */
  readonly registry: TargetRegistry;
  /** The rate limits of targets. */
  readonly limits: SendLimits;
  /** The backoffs that targets requested from this entry. */
  readonly backoffs: TargetBackoffs;
}

/**
 * Number of targets of a pool that an entry prefers while one of them is free. With more
 * targets, each connection is used so rarely that it is closed between two requests. All
 * targets of a smaller pool are in view.
 */
const TARGETS_IN_VIEW = 24;
/**
 * Ratio of load to concurrency from which a target with a known load counts as full. The
 * requests beyond its concurrency wait about 200 ms there until others end; more requests
 * would wait longer than callers do.
 */
const FULL_LOAD = 1.25;
/** Maximum age of a reported load that is used as the current one, in milliseconds. */
const MAX_REPORT_AGE_MS = 1000;
/**
 * Milliseconds after the last report from which the load of a pool is unknown. A decider
 * sends no reports while it plans, which takes longest when it starts.
 */
const LOAD_UNKNOWN_AFTER_MS = 2500;

/** Selects the targets of requests. */
export class TargetSelection {
  readonly registry: TargetRegistry;
  /** Which targets may be sent a request now. */
  readonly availability: TargetAvailability;
  /** Defers the least urgent requests to groups near their capacity. */
  readonly gate: AdmissionGate;
  readonly #failureDomain: string;
  readonly #entryName: string;
  /** Names of the targets in view. */
  #inView: ReadonlySet<string> = new Set();
  /** Names of all targets that the view was chosen from, separated by spaces. */
  #viewCandidateNames = "";
  readonly #choice: TargetChoice;
  readonly #random: RandomSource;
  readonly #entries = new EntryCount();
  readonly #prefixes = new PrefixIndex();

  /** Creates a selection among the targets of a registry. */
  constructor(options: TargetSelectionOptions) {
    this.registry = options.registry;
    this.#failureDomain = options.failureDomain;
    this.#entryName = options.entryName ?? "";
    this.#choice = options.choice ?? new ScoredChoice(options.random);
    this.#random = options.random;
    this.gate = new AdmissionGate(options);
    const entryName = this.#entryName;
    this.availability = new TargetAvailability({ ...options, entryName });
  }

  /**
   * Returns the target of the next attempt of a request, or the reason why there is none
   * now. `hasWaited` is true if the request has waited for a target.
   */
  select(
    inFlight: InFlightRequest,
    now: number,
    { hasWaited = false }: { readonly hasWaited?: boolean } = {},
  ): Selection {
    if (inFlight.isKeyed) {
      return this.availability.findOwner(inFlight, now);
    }
    const eligible = this.availability.listEligible(inFlight, now);
    if (eligible.isErr()) return eligible;
    const admitted = this.gate.admit(inFlight, eligible.value, {
      now,
      members: this.registry.servingOf(inFlight.pool),
    });
    if (admitted.length === 0) return Err("GROUP_BUSY");
    const notFull = admitted.filter((target) => !isFull(target, now));
    const free = hasWaited
      ? this.#filterByBacklogShare(notFull, inFlight, now)
      : notFull;
    if (free.length === 0) return Err("POOL_FULL");
    if (this.#isFullWithoutReports(inFlight, now)) return Err("POOL_FULL");
    const permitted = this.availability.filterPermitted(free, now);
    if (permitted.length === 0) return Err("TARGETS_LIMITED");
    const available = hasWaited
      ? this.availability.filterForWaitingRequest(permitted, now)
      : permitted;
    if (available.length === 0) return Err("POOL_FULL");
    const notStragglers = available.filter((target) => !target.isStraggler);
    const { permits } = this.availability;
    const candidates = this.availability.filterByRampUpShare(
      notStragglers.length > 0 ? notStragglers : available,
      now,
    );
    const dueForProbe = candidates.find(({ name }) =>
      permits.isProbeDue(name, now)
    );
    if (dueForProbe !== undefined) return Ok(dueForProbe);
    const inView = candidates.filter(({ name }) => this.#inView.has(name));
    const target = this.#choose(
      inView.length > 0 ? inView : candidates,
      inFlight,
      now,
    );
    return target === undefined ? Err("NO_TARGET") : Ok(target);
  }

  /** Sets the names of all entries that send requests, including this one. */
  setEntries(entries: readonly string[], now: number): void {
    this.#entries.setListed(entries, now);
    this.availability.permits.setEntries(entries, now);
  }

  /** Plans permits for `count` requests like this one to targets that all have limits. */
  planPermits(
    inFlight: InFlightRequest,
    count: number,
    now: number,
  ): PermitPlan {
    const eligible = this.availability.listEligible(inFlight, now).unwrapOr([]);
    const targets = eligible.filter((target) => !isFull(target, now))
      .sort((left, right) => estimateLoad(left) - estimateLoad(right));
    const names = targets.map(({ name }) => name);
    return this.availability.permits.planRequest(names, count, now);
  }

  /**
   * Whether this entry has reached its share of a pool of rank groups, none of which has
   * reported its load recently. The limit applies to rank groups only, as there each
   * additional request delays all others.
   */
  #isFullWithoutReports(inFlight: InFlightRequest, now: number): boolean {
    const { pauseObjectiveMs } = inFlight.route.service;
    if (pauseObjectiveMs === undefined) return false;
    const serving = this.availability.listUntriedServing(inFlight);
    const areRanks = serving.some(({ group }) => group !== undefined);
    const isLoadKnown = serving.some((target) =>
      hasRecentLoad(target, { withinMs: LOAD_UNKNOWN_AFTER_MS, now })
    );
    if (!areRanks || isLoadKnown) return false;
    const sumOf = (read: (target: TargetRecord) => number) =>
      serving.reduce((sum, target) => sum + read(target), 0);
    const limit = getUnknownLoadLimit({
      concurrency: sumOf(({ concurrency }) => concurrency),
      entries: this.#entries.firstListedAt === undefined
        ? undefined
        : this.#entries.getCount(now),
    });
    return sumOf(({ ownInFlight }) => ownInFlight) >= limit;
  }

  /**
   * Returns those of the targets whose group can take another one of the requests that
   * wait at this entry. Passes that stay too long for other reasons do not become shorter
   * by refusals, so the share of a group counts only while it has just opened, and where
   * more urgent requests need what is left of its capacity.
   */
  #filterByBacklogShare(
    targets: readonly TargetRecord[],
    inFlight: InFlightRequest,
    now: number,
  ): readonly TargetRecord[] {
    const { pool, poolPriorities, route } = inFlight;
    const isMixed = poolPriorities !== undefined;
    const { pauseObjectiveMs } = route.service;
    const members = this.registry.servingOf(pool);
    const isOpen = new Map<GroupState, boolean>();
    return targets.filter(({ group }) => {
      if (group === undefined) return true;
      if (!isMixed && !group.hasJustOpened(now)) return true;
      const known = isOpen.get(group);
      if (known !== undefined) return known;
      const mayAdmit = group.backlog.mayAdmit({
        now,
        pauseObjectiveMs,
        slots: countSlots(members, group),
        entries: this.#entries.getCount(now),
        random: this.#random,
        undeferredLoad: isMixed
          ? this.gate.tryGetUndeferredLoad(group, pool, { members, now })
          : undefined,
      });
      isOpen.set(group, mayAdmit);
      return mayAdmit;
    });
  }

  /**
   * Applies a list of directly called back ends; returns those that are gone.
   */
  setInstances(
    instances: readonly BackEndInstance[],
    now: number,
  ): readonly TargetRecord[] {
    const gone = this.registry.setInstances(instances, now);
    this.#setView(instances);
    return gone;
  }

  #setView(instances: readonly BackEndInstance[]): void {
    const names = instances.map(({ id }) => id).sort().join(" ");
    if (names === this.#viewCandidateNames) return;
    this.#viewCandidateNames = names;
    const subset = chooseSubset(
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
    this.#inView = new Set(subset.map(({ name }) => name));
  }

  /**
   * Records that a request was sent to a target, which has its prompt cached from now on.
   */
  recordSent(
    inFlight: InFlightRequest,
    target: TargetRecord,
    now: number,
  ): void {
    const blocks = inFlight.request.prefixBlocks ?? [];
    this.#prefixes.record(blocks, target.name);
    target.group?.backlog.recordSent(now);
    this.availability.recordSent(target, now);
  }

  /** Removes the cached prompts of a target that was lost. */
  forgetTarget(name: string): void {
    this.#prefixes.removeTarget(name);
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
      cachedBlocks: this.#prefixes.countCachedBlocks(blocks),
      promptBlocks: blocks.length,
    });
    return chosen && this.registry.tryGet(chosen.name);
  }
}

/** Whether a recently reported load shows that a target is full. */
function isFull(target: TargetRecord, now: number): boolean {
  if (!target.hasDecider) return false;
  const isLoadKnown = hasRecentLoad(target, {
    withinMs: MAX_REPORT_AGE_MS,
    now,
  });
  return isLoadKnown && estimateLoad(target) >= FULL_LOAD;
}

/** Whether the decider of a target's group reported its load in the last `withinMs`. */
function hasRecentLoad(
  { hasDecider, reportedAt }: TargetRecord,
  { withinMs, now }: { readonly withinMs: number; readonly now: number },
): boolean {
  return hasDecider && now - reportedAt < withinMs;
}
