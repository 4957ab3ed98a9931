/**
 * The vocabulary of a rank group that the engines' platform forms by itself: it
 * starts anew, in a new epoch and with the first map, whenever a rank is lost.
 *
 * Its engines may carry out an order seconds after they should have answered
 * it, and processes may end at any moment. So whatever a process relies on is a state
 * of an engine that no late order changes: see `held_pass.ts` and `decider.ts`.
 *
 * @module
 */
import type { ExpertMap } from "./group_types.ts";

/**
 * The rank that holds the pass of a switch, and whose engine decides it: this one is
 * armed before all others. The decider is beside rank 0: if that machine stands still,
 * the process beside the holder reads from its own engine how to end the switch.
 */
const HOLDER_RANK = 1;

/** The rank that holds the passes of switches in a group of so many ranks. */
export function getHolderRank(ranks: number): number {
  return Math.min(HOLDER_RANK, ranks - 1);
}

/** The engine switches to a prepared map as a pass begins. */
export interface ArmedSwitch {
  readonly version: number;
  readonly pass: number;
}

/** What an engine says of itself and its group. */
export interface RankState {
  readonly group: string;
  /** Number of this formation of the group. */
  readonly epoch: number;
  readonly rank: number;
  readonly ranks: number;
  /** Whether the group runs passes. */
  readonly isOpen: boolean;
  /** The last pass that was begun. */
  readonly pass: number;
  readonly activeVersion: number;
  /** The map that is loaded beside the active one, once it is whole. */
  readonly preparedVersion?: number;
  readonly armed?: ArmedSwitch;
  /** Pass that the group does not begin until this rank is told to. */
  readonly heldPass?: number;
  /** Requests that run at this rank, and that wait there. */
  readonly running: number;
  readonly queued: number;
  /** Time of this rank's work over that of a rank of usual speed. */
  readonly pace: number;
}

/** Load a map beside the active one. */
export interface PrepareOrder {
  readonly kind: "prepare";
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
}

/** The group does not begin a pass until this rank is told to go on. */
export interface HoldPassOrder {
  readonly kind: "hold";
  readonly epoch: number;
  readonly pass: number;
}

/** Switch to the prepared map as a pass begins. */
export interface ArmOrder {
  readonly kind: "arm";
  readonly epoch: number;
  readonly version: number;
  readonly pass: number;
}

/** The group may begin a pass that this rank holds. */
export interface GoOrder {
  readonly kind: "go";
  readonly epoch: number;
  readonly pass: number;
}

/** What an engine can be ordered to do. */
export type EngineOrder = PrepareOrder | HoldPassOrder | ArmOrder | GoOrder;

/**
 * Prepare, under a new version, a map that needs no copy. What was prepared before can
 * then not be armed any more, also not by an order that is carried out late, and also
 * after the process that gave it has ended.
 */
export interface FenceOrder {
  readonly kind: "fence";
  readonly epoch: number;
  readonly version: number;
}

/** What a rank's process can be ordered to have its engine do. */
export type RankOrder = EngineOrder | FenceOrder;

/** What became of an order. */
export type OrderOutcome = "accepted" | "rejected" | "unanswered";

/** Experts of one rank, by layer. */
export type RankExperts = readonly (readonly number[])[];

/** How often the requests of one rank chose each expert, by layer. */
export type ExpertCounts = readonly (readonly number[])[];

/** The decider tells a rank's process to give an order to its engine. */
export interface RankOrderMessage {
  readonly kind: "rank_order";
  readonly orderId: number;
  readonly order: RankOrder;
}

/** Rows of a new map that differ, by columns, since names of fields would take most of the bytes. */
export interface MapRows {
  /** Layer of each row. */
  readonly layers: readonly number[];
  /** Rank of each row. */
  readonly ranks: readonly number[];
  /** Experts of that layer that the rank drops. */
  readonly dropped: readonly (readonly number[])[];
  /** Experts of that layer that the rank gains. */
  readonly gained: readonly (readonly number[])[];
}

/** The map in force, ahead of the orders that tell what differs from it. */
export interface MapBaseMessage {
  readonly kind: "map_base";
  readonly map: ExpertMap;
}

/** An order to prepare a map, as what differs from the last one on the same link. */
export interface MapChangeMessage {
  readonly kind: "map_change";
  readonly orderId: number;
  readonly epoch: number;
  readonly version: number;
  /** The rows that differ. */
  readonly rows: MapRows;
  /** SHA-256 of all rows of the new map. */
  readonly checksum: string;
}

/**
 * The decider asks a rank's process whether an order was carried out that it gave
 * itself: what an engine tells other machines is some hundred milliseconds old.
 */
export interface RankCheckMessage {
  readonly kind: "rank_check";
  readonly orderId: number;
  readonly order: RankOrder;
}

/** The decider asks a rank's process for state and counts of its engine. */
export interface RankQueryMessage {
  readonly kind: "rank_query";
  /** Whether the experts of the rank are wanted, too. */
  readonly withExperts: boolean;
  /** Whether the counts of the rank are wanted, too: the greatest part of an answer. */
  readonly withCounts: boolean;
  /** Number of the counts that the asker has of this rank. */
  readonly knownCounts?: number;
}

/** Counts of a rank, as they are told. */
export interface CountsReport {
  /** Number of these counts; each telling has the next one. */
  readonly serial: number;
  /**
   * Number of the counts to which these were added; undefined: they count from the
   * start of the engine.
   */
  readonly since?: number;
  readonly counts: ExpertCounts;
}

/** How a rank's engine stands. */
export interface RankReportMessage {
  readonly kind: "rank_report";
  readonly state: RankState;
  /** The order that this answers; undefined for an answer to a query. */
  readonly orderId?: number;
  /** Whether the state shows that the order was carried out. */
  readonly isDone?: boolean;
  readonly counts?: CountsReport;
  readonly experts?: RankExperts;
}

/** Load of one rank, for entries. */
export interface RankLoadRow {
  /** Host and port at which the rank takes requests. */
  readonly engineAddress: string;
  readonly running: number;
  readonly queued: number;
  /** Time of its work over that of a rank of usual speed. */
  readonly pace: number;
}

/** How a group stands, as its decider heard it. */
export interface GroupLoad {
  readonly pool: string;
  readonly group: string;
  /** Whether the group runs passes; requests are refused while it does not. */
  readonly isOpen: boolean;
  /** Milliseconds since the decider heard so from rank 0. */
  readonly ageMs: number;
  /** Mean time of the last passes in milliseconds; undefined: there were none. */
  readonly passMs?: number;
  /** Formation of the group; undefined from deciders of earlier versions. */
  readonly epoch?: number;
  readonly loads: readonly RankLoadRow[];
}

/**
 * The decider tells an entry how its group stands: loads by columns, and addresses only
 * when they are not those told before on the same connection. With 64 ranks that is 0.3 KB
 * in place of 3.8, which each of a hundred entries hears some times a second.
 */
export interface GroupLoadMessage extends Omit<GroupLoad, "loads"> {
  readonly kind: "group_load";
  /** Engines of the ranks; undefined: those told last. */
  readonly engineAddresses?: readonly string[];
  readonly running: readonly number[];
  readonly queued: readonly number[];
  /** Pace of each rank in hundredths. */
  readonly pacePercents: readonly number[];
}

/**
 * A rank's process tells the entries near it whether its group runs. The decider's own
 * word does not reach them while its machine is cut off or dead, and the group is lost
 * just then.
 */
export interface GroupSightMessage {
  readonly kind: "group_sight";
  readonly group: string;
  readonly isOpen: boolean;
  /** Milliseconds since the engine was looked at. */
  readonly ageMs: number;
}

/** Messages of a formed group's processes, among them and to entries. */
export type FormedGroupMessage =
  | GroupLoadMessage
  | GroupSightMessage
  | RankOrderMessage
  | MapBaseMessage
  | MapChangeMessage
  | RankCheckMessage
  | RankQueryMessage
  | RankReportMessage;

/** Whether a state shows that an order has been carried out. */
export function isCarriedOut(order: RankOrder, state: RankState): boolean {
  if (state.epoch !== order.epoch) return false;
  switch (order.kind) {
    case "prepare":
    case "fence":
      return state.preparedVersion === order.version;
    case "hold":
      return state.heldPass === order.pass;
    case "arm":
      return state.activeVersion === order.version ||
        isArmedFor(state, order);
    case "go":
      return state.heldPass !== order.pass;
  }
}

/** Whether a rank will switch to a version as a pass begins. */
function isArmedFor(state: RankState, wanted: ArmedSwitch): boolean {
  return state.armed?.version === wanted.version &&
    state.armed.pass === wanted.pass;
}
