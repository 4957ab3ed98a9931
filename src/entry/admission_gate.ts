/**
 * Holds back the least urgent requests from rank groups that are near their capacity, in
 * pools whose services differ in priority. See `policy/group_capacity.ts` and
 * `policy/admission_order.ts`.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { GroupSettings } from "../external/operator_settings.ts";
import type { Priority } from "../messages/priority.ts";
import {
  AdmissionOrder,
  getAdmissionReturnMs,
  getHeldPart,
} from "../policy/admission_order.ts";
import type {
  CapacityFacts,
  GroupUtilization,
} from "../policy/group_capacity.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { GroupBelief } from "./group_belief.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { TargetRecord } from "./target_record.ts";
import type { EntryEffect } from "./types.ts";

/** Milliseconds between two lines of the log on one group. */
const LOG_INTERVAL_MS = 1000;
/** Milliseconds after which the load of a group that no request was meant for is not shown. */
const UTILIZATION_SHOWN_MS = 5000;

/**
 * Milliseconds after which a caller that returned is held back no longer: it was told to come
 * back then, asks no more, and leaves a silent connection after two seconds.
 */
const LONGEST_HELD_MS = 1300;

/** Why a request is held back, and when its caller should come back. */
export interface HoldFacts {
  readonly utilization: GroupUtilization;
  readonly freeInMs: number;
}

/** What is remembered of a request that was asked for. */
interface Drawn {
  /** Held back while its part that is held back is above this, from 0 to 1. */
  readonly number: number;
  isCounted: boolean;
  utilization: GroupUtilization | undefined;
  heldPart: number;
}

interface GroupHolds {
  loggedAt: number;
  held: number;
}

/** Options of an {@link AdmissionGate}. */
export interface AdmissionGateOptions {
  readonly random: RandomSource;
}

/** The pool of a request as it is asked about. */
export interface AdmissionMoment {
  /**
   * All targets of the pool that serve, also those that this entry cannot use: a group's
   * load is told for all of its ranks.
   */
  readonly members: readonly TargetRecord[];
  readonly now: number;
}

/** Holds back the least urgent requests from groups that are near their capacity. */
export class AdmissionGate {
  readonly #random: RandomSource;
  #groups: ReadonlyMap<string, GroupSettings> = new Map();
  readonly #orders = new Map<string, AdmissionOrder>();
  readonly #drawn = new WeakMap<InFlightRequest, Drawn>();
  readonly #holds = new Map<string, GroupHolds>();
  /** What groups were like when they were last asked for, by name. */
  readonly #utilizations = new Map<
    string,
    { readonly utilization: GroupUtilization; readonly at: number }
  >();
  #notes: EntryEffect[] = [];

  /** Holds back nothing before it knows groups. */
  constructor({ random }: AdmissionGateOptions) {
    this.#random = random;
  }

  /** The settings of rank groups, by pool. */
  setGroups(groups: ReadonlyMap<string, GroupSettings>): void {
    this.#groups = groups;
  }

  /** A request came in. */
  noteArrival(inFlight: InFlightRequest, now: number): void {
    if (inFlight.poolPriorities === undefined) return;
    this.#orderOf(inFlight.pool).noteArrival({
      ...orderedOf(inFlight, now),
      now,
    });
  }

  /**
   * Those of the targets that a request may be sent to now. One that was admitted once is
   * not held back when it is sent again, nor one that returned and has waited for long.
   */
  admit(
    inFlight: InFlightRequest,
    targets: readonly TargetRecord[],
    { members, now }: AdmissionMoment,
  ): readonly TargetRecord[] {
    const { poolPriorities, pool } = inFlight;
    const settings = this.#groups.get(pool);
    const isGated = poolPriorities !== undefined && settings !== undefined &&
      inFlight.attempt === 0 && !isLastChance(inFlight, now);
    if (!isGated) return targets;
    const closed = new Set<GroupBelief>();
    for (const group of groupsOf(targets)) {
      const utilization = tryUtilizationOf(group, { members, settings, now });
      if (utilization === undefined) continue;
      this.#utilizations.set(group.name, { utilization, at: now });
      if (
        this.#isHeldBack(inFlight, { group, utilization, poolPriorities, now })
      ) {
        closed.add(group);
      }
    }
    if (closed.size === 0) return targets;
    return targets.filter(({ group }) =>
      group === undefined || !closed.has(group)
    );
  }

  /** Why a request was held back last; undefined if it is refused for something else. */
  tryHoldFacts(
    inFlight: InFlightRequest,
    reason: RefusalName,
    now: number,
  ): HoldFacts | undefined {
    const drawn = this.#drawn.get(inFlight);
    if (reason !== "GROUP_BUSY" || drawn?.utilization === undefined) {
      return undefined;
    }
    const freeInMs = getAdmissionReturnMs({
      leftMs: Math.max(0, inFlight.deadlineAt - now),
      heldPart: drawn.heldPart,
      drawn: this.#random.nextFraction(),
    });
    return { utilization: drawn.utilization, freeInMs };
  }

  /** Load and capacity of the groups that requests were lately meant for, by name. */
  utilizationsAt(now: number): ReadonlyMap<string, GroupUtilization> {
    for (const [name, { at }] of this.#utilizations) {
      if (now - at >= UTILIZATION_SHOWN_MS) this.#utilizations.delete(name);
    }
    return new Map(
      [...this.#utilizations].map((
        [name, { utilization }],
      ) => [name, utilization]),
    );
  }

  /** Counts and lines of the log since they were last taken. */
  takeNotes(): readonly EntryEffect[] {
    const notes = this.#notes;
    if (notes.length > 0) this.#notes = [];
    return notes;
  }

  #isHeldBack(
    inFlight: InFlightRequest,
    at: {
      readonly group: GroupBelief;
      readonly utilization: GroupUtilization;
      readonly poolPriorities: readonly Priority[];
      readonly now: number;
    },
  ): boolean {
    const { group, utilization, poolPriorities: known, now } = at;
    const heldPart = getHeldPart(utilization);
    if (heldPart <= 0) return false;
    const drawn = this.#drawnOf(inFlight);
    const ordered = orderedOf(inFlight, now);
    const part = this.#orderOf(inFlight.pool)
      .getHeldPartOf(ordered, { now, heldPart, known });
    if (drawn.number >= part) return false;
    drawn.utilization = utilization;
    drawn.heldPart = heldPart;
    this.#note(drawn, {
      group,
      utilization,
      heldPart,
      now,
      priority: ordered.priority,
    });
    return true;
  }

  #note(
    drawn: Drawn,
    hold: {
      readonly group: GroupBelief;
      readonly utilization: GroupUtilization;
      readonly heldPart: number;
      readonly priority: Priority;
      readonly now: number;
    },
  ): void {
    const { group, priority, now } = hold;
    if (drawn.isCounted) return;
    drawn.isCounted = true;
    this.#notes.push({ kind: "count_held_back", priority });
    const holds = this.#holds.get(group.name) ??
      { loggedAt: Number.NEGATIVE_INFINITY, held: 0 };
    this.#holds.set(group.name, holds);
    holds.held++;
    if (now - holds.loggedAt < LOG_INTERVAL_MS) return;
    this.#notes.push(createHoldNote(hold, holds.held));
    holds.loggedAt = now;
    holds.held = 0;
  }

  #drawnOf(inFlight: InFlightRequest): Drawn {
    let drawn = this.#drawn.get(inFlight);
    if (drawn === undefined) {
      const number = this.#random.nextFraction();
      drawn = { number, isCounted: false, utilization: undefined, heldPart: 0 };
      this.#drawn.set(inFlight, drawn);
    }
    return drawn;
  }

  #orderOf(pool: string): AdmissionOrder {
    let order = this.#orders.get(pool);
    if (order === undefined) {
      order = new AdmissionOrder();
      this.#orders.set(pool, order);
    }
    return order;
  }
}

function isLastChance(
  { isRepeated, arrivedAt }: InFlightRequest,
  now: number,
): boolean {
  return isRepeated && now - arrivedAt >= LONGEST_HELD_MS;
}

function orderedOf(inFlight: InFlightRequest, now: number) {
  const { organisation, limits } = inFlight.route;
  return {
    priority: inFlight.priorityAt(now),
    organisation,
    weight: limits.weight,
  };
}

function groupsOf(targets: readonly TargetRecord[]): ReadonlySet<GroupBelief> {
  return new Set(targets.flatMap(({ group }) => group ?? []));
}

function tryUtilizationOf(
  group: GroupBelief,
  { members, settings, now }: {
    readonly members: readonly TargetRecord[];
    readonly settings: GroupSettings;
    readonly now: number;
  },
): GroupUtilization | undefined {
  const { pauseObjectiveMs: pauseMs, stepMs, stride = 1 } = settings;
  if (pauseMs === undefined) return undefined;
  const facts: CapacityFacts = {
    now,
    pauseMs,
    idlePassMs: stepMs * stride,
    slots: members.reduce(
      (sum, target) => sum + (target.group === group ? target.concurrency : 0),
      0,
    ),
  };
  return group.capacity.tryGet(facts);
}

function createHoldNote(
  { group, utilization, heldPart }: {
    readonly group: GroupBelief;
    readonly utilization: GroupUtilization;
    readonly heldPart: number;
  },
  held: number,
): EntryEffect {
  return {
    kind: "log_decision",
    name: "GROUP_HOLDS_BACK",
    details: {
      group: group.name,
      load: utilization.load,
      capacity: Math.round(utilization.capacity),
      reportAgeMs: Math.round(utilization.ageMs),
      heldPart: Number(heldPart.toFixed(2)),
      held,
    },
  };
}
