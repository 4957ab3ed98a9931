/**
 * Defers the least urgent requests to rank groups that are near their capacity, in pools
 * whose services differ in priority. See `policy/group_capacity.ts` and
 * `policy/admission_order.ts`.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { GroupSettings } from "../external/operator_settings.ts";
import type { Priority } from "../messages/priority.ts";
import {
  AdmissionOrder,
  getDeferralRetryDelayMs,
  getDeferredFraction,
  getUndeferredLoad,
} from "../policy/admission_order.ts";
import type {
  CapacityContext,
  GroupUtilization,
} from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { GroupState } from "./group_state.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { countSlots, type TargetRecord } from "./target_record.ts";
import type { EntryEffect } from "./types.ts";

/** Minimum interval between two log records on the same group, in milliseconds. */
const LOG_INTERVAL_MS = 1000;
/**
 * Milliseconds since the last request for a group after which its utilization is no
 * longer reported.
 */
const UTILIZATION_RETENTION_MS = 5000;

/** Why a request is deferred, and when its caller should retry. */
export interface DeferralDetails {
  readonly utilization: GroupUtilization;
  /** Retry delay of the caller, in milliseconds. */
  readonly freeInMs: number;
}

/** What the gate knows of a request that it has evaluated. */
interface DeferralState {
  /**
   * Random number from 0 to 1. The request is deferred while its deferral probability is
   * above this number.
   */
  readonly number: number;
  isCounted: boolean;
  utilization: GroupUtilization | undefined;
  deferredFraction: number;
}

interface GroupDeferrals {
  loggedAt: number;
  deferredCount: number;
}

/** Options of an {@link AdmissionGate}. */
export interface AdmissionGateOptions {
  readonly random: RandomSource;
}

/** The pool of a request at the time of its admission. */
export interface AdmissionContext {
  /**
   * All serving targets of the pool, including those that this entry cannot use: the
   * reported load of a group covers all of its ranks.
   */
  readonly members: readonly TargetRecord[];
  readonly now: number;
}

/** Defers the least urgent requests to groups that are near their capacity. */
export class AdmissionGate {
  readonly #random: RandomSource;
  #groups: ReadonlyMap<string, GroupSettings> = new Map();
  readonly #ordersByPool = new Map<string, AdmissionOrder>();
  readonly #deferralStates = new WeakMap<InFlightRequest, DeferralState>();
  readonly #deferralsByGroup = new Map<string, GroupDeferrals>();
  /** Utilization of each group at the last request for it, by group name. */
  readonly #utilizations = new Map<
    string,
    { readonly utilization: GroupUtilization; readonly at: number }
  >();
  #pendingEffects: EntryEffect[] = [];

  /** Creates a gate that defers nothing until groups are set. */
  constructor({ random }: AdmissionGateOptions) {
    this.#random = random;
  }

  /** Sets the settings of rank groups, by pool. */
  setGroups(groups: ReadonlyMap<string, GroupSettings>): void {
    this.#groups = groups;
  }

  /** Records the arrival of a request. */
  recordArrival(inFlight: InFlightRequest, now: number): void {
    if (inFlight.poolPriorities === undefined) return;
    this.#getOrder(inFlight.pool).recordArrival({
      ...createOrderedRequest(inFlight),
      now,
    });
  }

  /**
   * Returns those of the targets that a request may be sent to now. Further attempts of
   * an admitted request are not deferred.
   */
  admit(
    inFlight: InFlightRequest,
    targets: readonly TargetRecord[],
    { members, now }: AdmissionContext,
  ): readonly TargetRecord[] {
    const { poolPriorities, pool } = inFlight;
    const settings = this.#groups.get(pool);
    const isGated = poolPriorities !== undefined && settings !== undefined &&
      inFlight.attempt === 0;
    if (!isGated) return targets;
    const closed = new Set<GroupState>();
    for (const group of groupsOf(targets)) {
      const utilization = tryUtilizationOf(group, { members, settings, now });
      if (utilization === undefined) continue;
      this.#utilizations.set(group.name, { utilization, at: now });
      if (
        this.#shouldDefer(inFlight, { group, utilization, poolPriorities, now })
      ) {
        closed.add(group);
      }
    }
    if (closed.size === 0) return targets;
    return targets.filter(({ group }) =>
      group === undefined || !closed.has(group)
    );
  }

  /**
   * Returns why a request was last deferred; undefined if it is refused for another
   * reason.
   */
  tryDeferralDetails(
    inFlight: InFlightRequest,
    reason: RefusalName,
    now: number,
  ): DeferralDetails | undefined {
    const state = this.#deferralStates.get(inFlight);
    if (reason !== "GROUP_BUSY" || state?.utilization === undefined) {
      return undefined;
    }
    const freeInMs = getDeferralRetryDelayMs({
      leftMs: Math.max(0, inFlight.deadlineAt - now),
      deferredFraction: state.deferredFraction,
      randomFraction: this.#random.nextFraction(),
    });
    return { utilization: state.utilization, freeInMs };
  }

  /**
   * Returns load and capacity of the groups that had requests recently, by group name.
   */
  utilizationsAt(now: number): ReadonlyMap<string, GroupUtilization> {
    for (const [name, { at }] of this.#utilizations) {
      if (now - at >= UTILIZATION_RETENTION_MS) this.#utilizations.delete(name);
    }
    return new Map(
      [...this.#utilizations].map((
        [name, { utilization }],
      ) => [name, utilization]),
    );
  }

  /**
   * Returns the load up to which requests to a group are not deferred, in requests;
   * undefined if its capacity is not known.
   */
  tryGetUndeferredLoad(
    group: GroupState,
    pool: string,
    context: AdmissionContext,
  ): number | undefined {
    const settings = this.#groups.get(pool);
    if (settings === undefined) return undefined;
    const utilization = tryUtilizationOf(group, { ...context, settings });
    return utilization && getUndeferredLoad(utilization.capacity);
  }

  /** Returns the counter and log effects that were recorded since the last call. */
  takeEffects(): readonly EntryEffect[] {
    const effects = this.#pendingEffects;
    if (effects.length > 0) this.#pendingEffects = [];
    return effects;
  }

  #shouldDefer(
    inFlight: InFlightRequest,
    context: {
      readonly group: GroupState;
      readonly utilization: GroupUtilization;
      readonly poolPriorities: readonly Priority[];
      readonly now: number;
    },
  ): boolean {
    const { group, utilization, poolPriorities, now } = context;
    const deferredFraction = getDeferredFraction(utilization);
    if (deferredFraction <= 0) return false;
    const state = this.#getDeferralState(inFlight);
    const ordered = createOrderedRequest(inFlight);
    const requestFraction = this.#getOrder(inFlight.pool)
      .getDeferralProbability(ordered, {
        now,
        deferredFraction,
        knownPriorities: poolPriorities,
      });
    if (state.number >= requestFraction) return false;
    state.utilization = utilization;
    state.deferredFraction = deferredFraction;
    this.#recordDeferral(state, {
      group,
      utilization,
      deferredFraction,
      now,
      priority: ordered.priority,
    });
    return true;
  }

  #recordDeferral(
    state: DeferralState,
    deferral: {
      readonly group: GroupState;
      readonly utilization: GroupUtilization;
      readonly deferredFraction: number;
      readonly priority: Priority;
      readonly now: number;
    },
  ): void {
    const { group, priority, now } = deferral;
    if (state.isCounted) return;
    state.isCounted = true;
    this.#pendingEffects.push({ kind: "count_held_back", priority });
    const deferrals = this.#deferralsByGroup.get(group.name) ??
      { loggedAt: Number.NEGATIVE_INFINITY, deferredCount: 0 };
    this.#deferralsByGroup.set(group.name, deferrals);
    deferrals.deferredCount++;
    if (now - deferrals.loggedAt < LOG_INTERVAL_MS) return;
    this.#pendingEffects.push(
      createDeferralRecord(deferral, deferrals.deferredCount),
    );
    deferrals.loggedAt = now;
    deferrals.deferredCount = 0;
  }

  #getDeferralState(inFlight: InFlightRequest): DeferralState {
    let state = this.#deferralStates.get(inFlight);
    if (state === undefined) {
      const number = this.#random.nextFraction();
      state = {
        number,
        isCounted: false,
        utilization: undefined,
        deferredFraction: 0,
      };
      this.#deferralStates.set(inFlight, state);
    }
    return state;
  }

  #getOrder(pool: string): AdmissionOrder {
    let order = this.#ordersByPool.get(pool);
    if (order === undefined) {
      order = new AdmissionOrder();
      this.#ordersByPool.set(pool, order);
    }
    return order;
  }
}

function createOrderedRequest(inFlight: InFlightRequest) {
  const { organisation, limits } = inFlight.route;
  return {
    priority: inFlight.priority,
    organisation,
    weight: limits.weight,
  };
}

function groupsOf(targets: readonly TargetRecord[]): ReadonlySet<GroupState> {
  return new Set(targets.flatMap(({ group }) => group ?? []));
}

function tryUtilizationOf(
  group: GroupState,
  { members, settings, now }: {
    readonly members: readonly TargetRecord[];
    readonly settings: GroupSettings;
    readonly now: number;
  },
): GroupUtilization | undefined {
  const { pauseObjectiveMs: pauseMs, stepMs, stride = 1 } = settings;
  if (pauseMs === undefined) return undefined;
  const inputs: CapacityContext = {
    now,
    pauseMs,
    idlePassMs: stepMs * stride,
    slots: countSlots(members, group),
  };
  return group.capacity.tryGet(inputs);
}

function createDeferralRecord(
  { group, utilization, deferredFraction }: {
    readonly group: GroupState;
    readonly utilization: GroupUtilization;
    readonly deferredFraction: number;
  },
  deferredCount: number,
): EntryEffect {
  return {
    kind: "log_decision",
    name: "GROUP_HOLDS_BACK",
    details: {
      group: group.name,
      load: utilization.load,
      capacity: Math.round(utilization.capacity),
      reportAgeMs: Math.round(utilization.ageMs),
      heldPart: Number(deferredFraction.toFixed(2)),
      held: deferredCount,
    },
  };
}
