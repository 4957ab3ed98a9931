/**
 * Types for a formed group: a rank group that the engines' platform forms by itself.
 * Whenever a rank is lost, the group restarts in a new epoch with its initial map.
 *
 * The engines may execute an order seconds after the response to it was due, and
 * processes may exit at any time. Processes therefore rely only on engine state that no
 * late order can change; see `held_pass.ts` and `decider.ts`.
 *
 * @module
 */
import type { ExpertMap } from "./group_types.ts";

/**
 * The rank that holds the pass of a switch. Its engine is armed before all others, so
 * that its state determines the outcome of the switch. The decider is the sidecar of
 * rank 0; if rank 0's VM is frozen, the sidecar of the holder determines from its own
 * engine how to complete the switch.
 */
const HOLDER_RANK = 1;

/** Returns the rank that holds the passes of switches in a group with `ranks` ranks. */
export function getHolderRank(ranks: number): number {
  return Math.min(HOLDER_RANK, ranks - 1);
}

/** A switch of the engine to a prepared map at the beginning of a pass. */
export interface ArmedSwitch {
  readonly version: number;
  readonly pass: number;
}

/** State that an engine reports about itself and its group. */
export interface RankState {
  readonly group: string;
  /** Number of the current formation of the group. */
  readonly epoch: number;
  readonly rank: number;
  readonly ranks: number;
  /** Whether the group runs passes. */
  readonly isOpen: boolean;
  /** The last pass that the group began. */
  readonly pass: number;
  readonly activeVersion: number;
  /** Version of the map that is completely loaded in addition to the active one. */
  readonly preparedVersion?: number;
  readonly armed?: ArmedSwitch;
  /** Pass that the group does not begin until this rank gets a `go` order. */
  readonly heldPass?: number;
  /** Requests that run at this rank and that are queued there. */
  readonly running: number;
  readonly queued: number;
  /** Ratio of this rank's processing time to that of a rank of normal speed. */
  readonly pace: number;
}

/** Orders an engine to load a map in addition to the active one. */
export interface PrepareOrder {
  readonly kind: "prepare";
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
}

/** Orders an engine to hold a pass: the group does not begin it without a `go` order. */
export interface HoldPassOrder {
  readonly kind: "hold";
  readonly epoch: number;
  readonly pass: number;
}

/** Orders an engine to switch to the prepared map at the beginning of a pass. */
export interface ArmOrder {
  readonly kind: "arm";
  readonly epoch: number;
  readonly version: number;
  readonly pass: number;
}

/** Orders an engine to let the group begin the pass that its rank holds. */
export interface GoOrder {
  readonly kind: "go";
  readonly epoch: number;
  readonly pass: number;
}

/** An order to an engine. */
export type EngineOrder = PrepareOrder | HoldPassOrder | ArmOrder | GoOrder;

/**
 * Orders an engine to prepare, under a new version, a map that requires no copying. The
 * previously prepared map can then no longer be armed, not even by an order that is
 * executed late or whose sender has exited.
 */
export interface FenceOrder {
  readonly kind: "fence";
  readonly epoch: number;
  readonly version: number;
}

/** An order that the sidecar of a rank executes at its engine. */
export type RankOrder = EngineOrder | FenceOrder;

/** Outcome of sending an order to an engine. */
export type OrderOutcome = "accepted" | "rejected" | "unanswered";

/** Experts of one rank for each layer. */
export type RankExperts = readonly (readonly number[])[];

/** How often the requests of one rank were routed to each expert of each layer. */
export type ExpertCounts = readonly (readonly number[])[];

/** Instructs the sidecar of a rank to send an order to its engine. */
export interface RankOrderMessage {
  readonly kind: "rank_order";
  readonly orderId: number;
  readonly order: RankOrder;
}

/**
 * Changed rows of a new map in column format, since the field names of a row format would
 * take up most of the bytes.
 */
export interface MapRows {
  /** Layer of each row. */
  readonly layers: readonly number[];
  /** Rank of each row. */
  readonly ranks: readonly number[];
  /** Experts that each row's rank drops from the layer. */
  readonly dropped: readonly (readonly number[])[];
  /** Experts that each row's rank gains in the layer. */
  readonly gained: readonly (readonly number[])[];
}

/** The active map, sent before orders that contain only changes to it. */
export interface MapBaseMessage {
  readonly kind: "map_base";
  readonly map: ExpertMap;
}

/** An order to prepare a map, encoded as changes to the last map on the same link. */
export interface MapChangeMessage {
  readonly kind: "map_change";
  readonly orderId: number;
  readonly epoch: number;
  readonly version: number;
  /** The changed rows. */
  readonly rows: MapRows;
  /** SHA-256 of all rows of the new map. */
  readonly checksum: string;
}

/**
 * Requests that the sidecar of a rank check whether the engine has executed an order that
 * the decider sent to the engine itself. The state that an engine reports to other VMs is
 * some hundred milliseconds old.
 */
export interface RankCheckMessage {
  readonly kind: "rank_check";
  readonly orderId: number;
  readonly order: RankOrder;
}

/** Requests the state and counts of an engine from the sidecar of its rank. */
export interface RankQueryMessage {
  readonly kind: "rank_query";
  /** Whether the report is to include the experts of the rank. */
  readonly withExperts: boolean;
  /** Whether the report is to include the counts, which are the largest part of it. */
  readonly withCounts: boolean;
  /** Serial number of the counts that the requester already has from this rank. */
  readonly knownCounts?: number;
}

/** Counts of a rank as they are reported. */
export interface CountsReport {
  /** Serial number of these counts; it increases by one with each report. */
  readonly serial: number;
  /**
   * Serial number of the counts to which these must be added; undefined: these are the
   * totals since the start of the engine.
   */
  readonly since?: number;
  readonly counts: ExpertCounts;
}

/** Reports the state of a rank's engine. */
export interface RankReportMessage {
  readonly kind: "rank_report";
  readonly state: RankState;
  /** Order to which this report responds; undefined in a response to a query. */
  readonly orderId?: number;
  /** Whether the state shows that the order has been executed. */
  readonly isDone?: boolean;
  readonly counts?: CountsReport;
  readonly experts?: RankExperts;
}

/** Load of one rank as reported to entries. */
export interface RankLoadRow {
  /** Host and port at which the rank accepts requests. */
  readonly engineAddress: string;
  readonly running: number;
  readonly queued: number;
  /** Ratio of its processing time to that of a rank of normal speed. */
  readonly pace: number;
}

/** State and load of a group as known to its decider. */
export interface GroupLoad {
  readonly pool: string;
  readonly group: string;
  /** Whether the group runs passes; requests are refused while it does not. */
  readonly isOpen: boolean;
  /** Milliseconds since the decider received this state from rank 0. */
  readonly ageMs: number;
  /** Mean duration of recent passes in milliseconds; undefined: there were none. */
  readonly passMs?: number;
  /** Epoch of the group; undefined if sent by a decider of an earlier version. */
  readonly epoch?: number;
  readonly loads: readonly RankLoadRow[];
}

/**
 * Reports the state and load of the decider's group to an entry. Loads are in column
 * format, and addresses are included only if they differ from those sent last on the same
 * connection. With 64 ranks this reduces the message from 3.8 KB to 0.3 KB; it is sent
 * to each of a hundred entries several times per second.
 */
export interface GroupLoadMessage extends Omit<GroupLoad, "loads"> {
  readonly kind: "group_load";
  /** Addresses of the ranks' engines; undefined: those sent last. */
  readonly engineAddresses?: readonly string[];
  readonly running: readonly number[];
  readonly queued: readonly number[];
  /** Pace of each rank in percent. */
  readonly pacePercents: readonly number[];
}

/**
 * Reports from the sidecar of a rank to the entries in its failure domain whether the
 * group runs. These entries receive no reports of the decider while its VM is unreachable
 * or has failed, in which case the group is lost, too.
 */
export interface GroupObservationMessage {
  readonly kind: "group_sight";
  readonly group: string;
  readonly isOpen: boolean;
  /** Milliseconds since the engine's state was read. */
  readonly ageMs: number;
}

/** Messages that the sidecars of a formed group send to each other and to entries. */
export type FormedGroupMessage =
  | GroupLoadMessage
  | GroupObservationMessage
  | RankOrderMessage
  | MapBaseMessage
  | MapChangeMessage
  | RankCheckMessage
  | RankQueryMessage
  | RankReportMessage;

/** Returns whether a state shows that an order has been executed. */
export function isExecuted(order: RankOrder, state: RankState): boolean {
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

/** Returns whether a rank is armed for the given version and pass. */
function isArmedFor(state: RankState, armedSwitch: ArmedSwitch): boolean {
  return state.armed?.version === armedSwitch.version &&
    state.armed.pass === armedSwitch.pass;
}
