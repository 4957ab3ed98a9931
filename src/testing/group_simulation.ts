/**
 * Simulates a rank group whose members, decider and engines exchange messages in any
 * order. Processes restart, and ranks are replaced or cut off; every step is checked to
 * have run with one map.
 *
 * @module
 */
import assert from "node:assert/strict";
import { GroupCoordinator } from "../group/coordinator.ts";
import { GroupMember, type MemberEffect } from "../group/member.ts";
import type {
  CoordinatorMessage,
  EngineOrder,
  ExpertMap,
  MemberMessage,
} from "../messages/group_types.ts";
import { FakeEngine } from "./fake_engine.ts";

/** Ranks of the group. */
export const RANKS = 3;
/** Minimum number of steps that the group runs after all faults have ended. */
export const STEPS_AFTER_HEALING = 40;
const HEALING_ROUNDS = 400;

/** One event of the simulation. */
export interface Action {
  readonly kind:
    | "deliver"
    | "answer"
    | "order"
    | "step"
    | "tick"
    | "propose"
    | "restart_member"
    | "replace_rank"
    | "flow"
    | "cut"
    | "join";
  readonly rank: number;
  readonly choice: number;
}

interface MessageToMember {
  readonly from: number;
  readonly message: CoordinatorMessage;
}

interface MessageToCoordinator {
  readonly coordinator: number;
  readonly rank: number;
  readonly message: MemberMessage;
}

interface CurrentOrder {
  readonly order: EngineOrder;
  readonly fencingNumber: number;
}

class Rank {
  member = new GroupMember();
  engine: FakeEngine;
  inbox: MessageToMember[] = [];
  currentOrder: CurrentOrder | undefined;
  isCut = false;

  constructor(checksFencing: boolean) {
    this.engine = new FakeEngine(checksFencing);
  }
}

/** Options of a {@link GroupSimulation}. */
export interface GroupSimulationOptions {
  readonly checksFencing: boolean;
}

/** A group, its undelivered messages, and the map of each step. */
export class GroupSimulation {
  readonly ranks: Rank[] = [];
  readonly versionByStep = new Map<string, number>();
  readonly mapByVersion = new Map<number, string>();
  committedSwitches = 0;
  #coordinator!: GroupCoordinator;
  #coordinatorId = 0;
  #outbox: MessageToCoordinator[] = [];
  #now = 0;
  #proposedMaps = 0;
  #replacedRanks = 0;
  readonly #options: GroupSimulationOptions;

  constructor(options: GroupSimulationOptions) {
    this.#options = options;
    for (let rank = 0; rank < RANKS; rank++) {
      this.ranks.push(new Rank(options.checksFencing));
    }
    this.#startCoordinator();
    for (let rank = 0; rank < RANKS; rank++) this.#startMember(rank);
  }

  act(action: Action): void {
    const rank = action.rank;
    switch (action.kind) {
      case "deliver":
        return this.#deliverToMember(rank);
      case "answer":
        return this.#deliverToCoordinator(action.choice);
      case "order":
        return this.#answerOrder(rank);
      case "step":
        return this.#step(rank);
      case "tick":
        return this.#advance(action.choice);
      case "propose":
        return this.#propose();
      case "restart_member":
        return this.#restartMember(rank, action.choice);
      case "replace_rank":
        return this.#replaceRank(rank);
      case "flow":
        return this.#advanceAll(action.choice);
      case "cut":
        this.#getRank(rank).isCut = true;
        return;
      case "join":
        return this.#reconnect(rank);
    }
  }

  /**
   * Ends all faults and delivers all messages; returns when the group runs steps and no
   * switch is open.
   */
  heal(): void {
    for (let rank = 0; rank < RANKS; rank++) this.#reconnect(rank);
    const requiredSteps = this.versionByStep.size + STEPS_AFTER_HEALING;
    for (let round = 0; round < HEALING_ROUNDS; round++) {
      if (this.isIdle && this.versionByStep.size >= requiredSteps) return;
      this.#advance(100);
      for (let rank = 0; rank < RANKS; rank++) {
        while (this.#getRank(rank).inbox.length > 0) {
          this.#deliverToMember(rank);
        }
        while (this.#getRank(rank).currentOrder !== undefined) {
          this.#answerOrder(rank);
        }
      }
      while (this.#outbox.length > 0) this.#deliverToCoordinator(0);
      for (let rank = 0; rank < RANKS; rank++) this.#step(rank);
    }
  }

  get lowestStep(): number {
    return Math.min(
      ...this.ranks.map((rankState) => rankState.engine.state.step),
    );
  }

  get isIdle(): boolean {
    return this.#coordinator.isIdle;
  }

  #getRank(rank: number): Rank {
    return this.ranks[rank] as Rank;
  }

  #startCoordinator(): void {
    this.#coordinatorId++;
    this.#coordinator = new GroupCoordinator({
      ranks: RANKS,
      decider: `process-${this.#coordinatorId}`,
      firstMap: createMap(0),
      // The same epoch after a restart, as from a clock that does not advance over
      // restarts.
      firstEpoch: 1 + this.#replacedRanks,
      marginSteps: 1,
    });
  }

  #startMember(rank: number): void {
    const rankState = this.#getRank(rank);
    rankState.member = new GroupMember();
    rankState.currentOrder = undefined;
    rankState.inbox = [];
    this.#outbox = this.#outbox.filter((message) => message.rank !== rank);
    this.#perform(
      rank,
      rankState.member.reduce({
        kind: "engine_said",
        now: this.#now,
        engine: rankState.engine.state,
      }),
    );
    this.#connect(rank);
  }

  #connect(rank: number): void {
    this.#performCoordinator(this.#coordinator.reduce({
      kind: "member_connected",
      now: this.#now,
      rank,
    }));
  }

  #deliverToMember(rank: number): void {
    const rankState = this.#getRank(rank);
    if (rankState.isCut) return;
    const next = rankState.inbox.shift();
    if (next === undefined) return;
    const effects = rankState.member.reduce({
      kind: "coordinator_said",
      now: this.#now,
      message: next.message,
    });
    this.#perform(rank, effects, next.from);
  }

  #deliverToCoordinator(choice: number): void {
    const open = this.#outbox.filter((message) =>
      !this.#getRank(message.rank).isCut
    );
    const next = open[choice % Math.max(1, open.length)];
    if (next === undefined) return;
    const first = open.find((message) => message.rank === next.rank) ?? next;
    this.#outbox = this.#outbox.filter((message) => message !== first);
    if (first.coordinator !== this.#coordinatorId) return;
    this.#performCoordinator(this.#coordinator.reduce({
      kind: "member_said",
      now: this.#now,
      rank: first.rank,
      message: first.message,
    }));
  }

  #answerOrder(rank: number): void {
    const rankState = this.#getRank(rank);
    const { currentOrder } = rankState;
    if (currentOrder === undefined) return;
    rankState.currentOrder = undefined;
    rankState.engine.execute(currentOrder.order, currentOrder.fencingNumber);
    this.#perform(
      rank,
      rankState.member.reduce({
        kind: "engine_said",
        now: this.#now,
        engine: rankState.engine.state,
        order: currentOrder.order,
      }),
    );
  }

  /**
   * Runs a step in lock-step: no rank begins a step before all have ended the previous
   * one.
   */
  #step(rank: number): void {
    const { engine } = this.#getRank(rank);
    const { incarnation, step } = engine.state;
    const isInStep = incarnation > 0 &&
      this.ranks.every((rankState) =>
        rankState.engine.state.incarnation === incarnation &&
        rankState.engine.state.step >= step
      );
    const map = engine.tryGetNextMap();
    if (!isInStep || map === undefined) return;
    const key = `${incarnation}/${step}`;
    const recordedVersion = this.versionByStep.get(key) ?? map.version;
    assert.equal(map.version, recordedVersion, `Two maps in step ${key}`);
    this.versionByStep.set(key, map.version);
    const text = JSON.stringify(map.map);
    const recordedMap = this.mapByVersion.get(map.version) ?? text;
    assert.equal(text, recordedMap, `Two maps under version ${map.version}`);
    this.mapByVersion.set(map.version, text);
    engine.runStep();
    this.#perform(
      rank,
      this.#getRank(rank).member.reduce({
        kind: "engine_said",
        now: this.#now,
        engine: engine.state,
      }),
    );
  }

  #advance(milliseconds: number): void {
    this.#now += milliseconds;
    this.#performCoordinator(
      this.#coordinator.reduce({ kind: "tick", now: this.#now }),
    );
    for (let rank = 0; rank < RANKS; rank++) {
      const { member } = this.#getRank(rank);
      this.#perform(rank, member.reduce({ kind: "tick", now: this.#now }));
    }
  }

  #propose(): void {
    this.#proposedMaps++;
    this.#performCoordinator(this.#coordinator.reduce({
      kind: "map_proposed",
      now: this.#now,
      map: createMap(this.#proposedMaps),
    }));
  }

  /**
   * Restarts a member while its engine continues; a current order reaches the engine now
   * or never.
   */
  #restartMember(rank: number, choice: number): void {
    const rankState = this.#getRank(rank);
    if (rankState.currentOrder !== undefined && choice % 2 === 0) {
      rankState.engine.execute(
        rankState.currentOrder.order,
        rankState.currentOrder.fencingNumber,
      );
    }
    if (rank === 0) this.#startCoordinator();
    this.#startMember(rank);
    if (rank === 0) this.#reconnectAll();
  }

  /** Reconnects the other ranks; messages of the previous decider stay in transit. */
  #reconnectAll(): void {
    for (let other = 1; other < RANKS; other++) this.#connect(other);
  }

  #replaceRank(rank: number): void {
    this.#replacedRanks++;
    this.#getRank(rank).engine = new FakeEngine(this.#options.checksFencing);
    if (rank === 0) this.#startCoordinator();
    this.#startMember(rank);
    if (rank === 0) this.#reconnectAll();
  }

  /** Advances every undelivered message and step by one, except for one rank. */
  #advanceAll(choice: number): void {
    const skippedRank = choice % (RANKS + 1);
    for (let rank = 0; rank < RANKS; rank++) {
      if (rank === skippedRank) continue;
      this.#deliverToMember(rank);
      this.#answerOrder(rank);
      this.#step(rank);
    }
    for (let rank = 0; rank < RANKS; rank++) this.#deliverToCoordinator(rank);
  }

  #reconnect(rank: number): void {
    const rankState = this.#getRank(rank);
    if (!rankState.isCut) return;
    rankState.isCut = false;
    this.#connect(rank);
  }

  #perform(
    rank: number,
    effects: readonly MemberEffect[],
    coordinator = this.#coordinatorId,
  ): void {
    for (const effect of effects) {
      if (effect.kind === "order") this.#getRank(rank).currentOrder = effect;
      else {
        this.#outbox.push({ coordinator, rank, message: effect.message });
      }
    }
  }

  #performCoordinator(
    effects: ReturnType<GroupCoordinator["reduce"]>,
  ): void {
    for (const effect of effects) {
      if (effect.kind === "say") {
        this.#getRank(effect.rank).inbox.push({
          from: this.#coordinatorId,
          message: effect.message,
        });
      }
      if (effect.kind === "switch_decided" && effect.isCommitted) {
        this.committedSwitches++;
      }
    }
  }
}

function createMap(number: number): ExpertMap {
  return { layers: [{ experts: [[number]] }] };
}
