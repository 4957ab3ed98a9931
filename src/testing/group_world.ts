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

interface ToMember {
  readonly from: number;
  readonly message: CoordinatorMessage;
}

interface ToCoordinator {
  readonly coordinator: number;
  readonly rank: number;
  readonly message: MemberMessage;
}

interface GivenOrder {
  readonly order: EngineOrder;
  readonly fencingNumber: number;
}

class Rank {
  member = new GroupMember();
  engine: FakeEngine;
  inbox: ToMember[] = [];
  given: GivenOrder | undefined;
  isCut = false;

  constructor(checksFencing: boolean) {
    this.engine = new FakeEngine(checksFencing);
  }
}

/** Options of a {@link GroupWorld}. */
export interface WorldOptions {
  readonly checksFencing: boolean;
}

/** A group, its undelivered messages, and the map of each step. */
export class GroupWorld {
  readonly ranks: Rank[] = [];
  readonly versionByStep = new Map<string, number>();
  readonly mapByVersion = new Map<number, string>();
  committed = 0;
  #coordinator!: GroupCoordinator;
  #coordinatorId = 0;
  #outbox: ToCoordinator[] = [];
  #now = 0;
  #maps = 0;
  #replaced = 0;
  readonly #options: WorldOptions;

  constructor(options: WorldOptions) {
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
        return this.#tick(action.choice);
      case "propose":
        return this.#propose();
      case "restart_member":
        return this.#restartMember(rank, action.choice);
      case "replace_rank":
        return this.#replaceRank(rank);
      case "flow":
        return this.#flow(action.choice);
      case "cut":
        this.#rank(rank).isCut = true;
        return;
      case "join":
        return this.#join(rank);
    }
  }

  /**
   * Ends all faults and delivers all messages; returns when the group runs steps and no
   * switch is open.
   */
  heal(): void {
    for (let rank = 0; rank < RANKS; rank++) this.#join(rank);
    const wanted = this.versionByStep.size + STEPS_AFTER_HEALING;
    for (let round = 0; round < HEALING_ROUNDS; round++) {
      if (this.isIdle && this.versionByStep.size >= wanted) return;
      this.#tick(100);
      for (let rank = 0; rank < RANKS; rank++) {
        while (this.#rank(rank).inbox.length > 0) this.#deliverToMember(rank);
        while (this.#rank(rank).given !== undefined) this.#answerOrder(rank);
      }
      while (this.#outbox.length > 0) this.#deliverToCoordinator(0);
      for (let rank = 0; rank < RANKS; rank++) this.#step(rank);
    }
  }

  get lowestStep(): number {
    return Math.min(...this.ranks.map((one) => one.engine.state.step));
  }

  get isIdle(): boolean {
    return this.#coordinator.isIdle;
  }

  #rank(rank: number): Rank {
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
      firstEpoch: 1 + this.#replaced,
      marginSteps: 1,
    });
  }

  #startMember(rank: number): void {
    const one = this.#rank(rank);
    one.member = new GroupMember();
    one.given = undefined;
    one.inbox = [];
    this.#outbox = this.#outbox.filter((message) => message.rank !== rank);
    this.#perform(
      rank,
      one.member.reduce({
        kind: "engine_said",
        now: this.#now,
        engine: one.engine.state,
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
    const one = this.#rank(rank);
    if (one.isCut) return;
    const next = one.inbox.shift();
    if (next === undefined) return;
    const effects = one.member.reduce({
      kind: "coordinator_said",
      now: this.#now,
      message: next.message,
    });
    this.#perform(rank, effects, next.from);
  }

  #deliverToCoordinator(choice: number): void {
    const open = this.#outbox.filter((message) =>
      !this.#rank(message.rank).isCut
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
    const one = this.#rank(rank);
    const { given } = one;
    if (given === undefined) return;
    one.given = undefined;
    one.engine.carryOut(given.order, given.fencingNumber);
    this.#perform(
      rank,
      one.member.reduce({
        kind: "engine_said",
        now: this.#now,
        engine: one.engine.state,
        order: given.order,
      }),
    );
  }

  /**
   * Runs a step in lock-step: no rank begins a step before all have ended the previous
   * one.
   */
  #step(rank: number): void {
    const { engine } = this.#rank(rank);
    const { incarnation, step } = engine.state;
    const isTogether = incarnation > 0 &&
      this.ranks.every((one) =>
        one.engine.state.incarnation === incarnation &&
        one.engine.state.step >= step
      );
    const map = engine.tryMapOfNextStep();
    if (!isTogether || map === undefined) return;
    const key = `${incarnation}/${step}`;
    const seen = this.versionByStep.get(key) ?? map.version;
    assert.equal(map.version, seen, `Two maps in step ${key}`);
    this.versionByStep.set(key, map.version);
    const text = JSON.stringify(map.map);
    const known = this.mapByVersion.get(map.version) ?? text;
    assert.equal(text, known, `Two maps under version ${map.version}`);
    this.mapByVersion.set(map.version, text);
    engine.runStep();
    this.#perform(
      rank,
      this.#rank(rank).member.reduce({
        kind: "engine_said",
        now: this.#now,
        engine: engine.state,
      }),
    );
  }

  #tick(milliseconds: number): void {
    this.#now += milliseconds;
    this.#performCoordinator(
      this.#coordinator.reduce({ kind: "tick", now: this.#now }),
    );
    for (let rank = 0; rank < RANKS; rank++) {
      const { member } = this.#rank(rank);
      this.#perform(rank, member.reduce({ kind: "tick", now: this.#now }));
    }
  }

  #propose(): void {
    this.#maps++;
    this.#performCoordinator(this.#coordinator.reduce({
      kind: "map_proposed",
      now: this.#now,
      map: createMap(this.#maps),
    }));
  }

  /**
   * Restarts a member while its engine continues; a current order reaches the engine now
   * or never.
   */
  #restartMember(rank: number, choice: number): void {
    const one = this.#rank(rank);
    if (one.given !== undefined && choice % 2 === 0) {
      one.engine.carryOut(one.given.order, one.given.fencingNumber);
    }
    if (rank === 0) this.#startCoordinator();
    this.#startMember(rank);
    if (rank === 0) this.#reconnectAll();
  }

  /** Undelivered messages of the previous decider stay undelivered. */
  #reconnectAll(): void {
    for (let other = 1; other < RANKS; other++) this.#connect(other);
  }

  #replaceRank(rank: number): void {
    this.#replaced++;
    this.#rank(rank).engine = new FakeEngine(this.#options.checksFencing);
    if (rank === 0) this.#startCoordinator();
    this.#startMember(rank);
    if (rank === 0) this.#reconnectAll();
  }

  /** Advances every undelivered message and step by one, except for one rank. */
  #flow(choice: number): void {
    const left = choice % (RANKS + 1);
    for (let rank = 0; rank < RANKS; rank++) {
      if (rank === left) continue;
      this.#deliverToMember(rank);
      this.#answerOrder(rank);
      this.#step(rank);
    }
    for (let rank = 0; rank < RANKS; rank++) this.#deliverToCoordinator(rank);
  }

  #join(rank: number): void {
    const one = this.#rank(rank);
    if (!one.isCut) return;
    one.isCut = false;
    this.#connect(rank);
  }

  #perform(
    rank: number,
    effects: readonly MemberEffect[],
    coordinator = this.#coordinatorId,
  ): void {
    for (const effect of effects) {
      if (effect.kind === "order") this.#rank(rank).given = effect;
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
        this.#rank(effect.rank).inbox.push({
          from: this.#coordinatorId,
          message: effect.message,
        });
      }
      if (effect.kind === "switch_decided" && effect.isCommitted) {
        this.committed++;
      }
    }
  }
}

function createMap(number: number): ExpertMap {
  return { layers: [{ experts: [[number]] }] };
}
