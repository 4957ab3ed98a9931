/**
 * A formed group, its ranks' processes and those that decide for it, in virtual time:
 * orders that engines answer late, lose or carry out seconds later, words that are lost
 * between processes, and machines and processes that stand still or end at any moment.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { FormedGroupDecider } from "../group/formed/decider.ts";
import type {
  DeciderEffect,
  DeciderEvent,
  SendOrder,
} from "../group/formed/decider_types.ts";
import { HeldPassWatch } from "../group/formed/held_pass_watch.ts";
import {
  getHolderRank,
  isCarriedOut,
  type RankOrderMessage,
  type RankReportMessage,
} from "../group/formed/types.ts";
import type { ExpertMap } from "../group/types.ts";
import { EventQueue } from "./event_queue.ts";
import type { FormedGroupFaults } from "./formed_group_faults.ts";
import { FakeFormedEngine } from "./fake_formed_engine.ts";
import { HoldRecord, isUndecidable } from "./hold_record.ts";

/** What a run showed. */
export interface FormedGroupResult {
  /** Passes that began with more than one map. */
  readonly mixedPasses: readonly number[];
  readonly passes: number;
  /** Maps that came into force. */
  readonly switches: number;
  /** Longest time for which a pass was held, in milliseconds. */
  readonly longestHoldMs: number;
  /** The same without the time in which nobody could tell what the decider's rank will do. */
  readonly longestAvoidableHoldMs: number;
  /** Times that the decider's machine stood still. */
  readonly freezes: number;
  /** Those of them in which the group waited since nobody could tell. */
  readonly undecidableFreezes: number;
  /** What had left the decider's machine as it stood still first. */
  readonly saidBefore: readonly string[];
  /** Whether its rank was armed then. */
  readonly wasArmed: boolean;
}

const RANKS = 4;
const HOLDER = getHolderRank(RANKS);
const PASS_MS = 40;
const TICK_MS = 20;
const PROPOSAL_MS = 150;
const LOAD_MS = 400;
const ORDER_LIMIT_MS = 40;
const IDLE_PERIOD_MS = 10_000;
const LATE_MIN_MS = 2000;
const LATE_SPREAD_MS = 10_000;
const DOWN_MS = 1500;
const FREEZE_MS = 4000;
const FIRST_FREEZE_MS = 1000;
const LOOK_MS = 100;
/** Milliseconds until an engine shows another machine what an order did. */
const REMOTE_LOOK_MS = 240;
const ORDER_IDS_OF_SEAT = 2 ** 32;

/** A process that decides, or ends what was decided, beside a rank. */
interface Seat {
  readonly rank: number;
  decider: FormedGroupDecider | undefined;
  /** Grows with each decider, so that messages to an ended one are dropped. */
  number: number;
  /** What arrived while the machine stood still. */
  readonly kept: DeciderEvent[];
}

function createSeat(rank: number): Seat {
  return { rank, decider: undefined, number: 0, kept: [] };
}

/** A formed group in virtual time. */
export class FormedGroupWorld {
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #faults: FormedGroupFaults;
  readonly #engines = Array.from(
    { length: RANKS },
    (_, rank) => new FakeFormedEngine(rank, RANKS),
  );
  readonly #seat = createSeat(0);
  readonly #rescueSeat = createSeat(HOLDER);
  readonly #watch = new HeldPassWatch();
  /** That rank 0 is armed, as the process beside the holder was told last. */
  #told: RankReportMessage | undefined;
  /** Until when each machine stands still. */
  readonly #frozenUntil = new Array<number>(RANKS).fill(0);
  readonly #orders = new Map<number, RankOrderMessage>();
  readonly #mixedPasses: number[] = [];
  #passes = 0;
  #switches = 0;
  readonly #holds = new HoldRecord();
  #freezes = 0;
  /** Freezes of the decider's machine, by number, in which nobody could tell. */
  readonly #undecidable = new Set<number>();
  /** What has left the decider's machine. */
  readonly #said: string[] = [];
  #saidBefore: readonly string[] = [];
  #wasArmed = false;
  #proposals = 0;

  /** The same seed gives the same run. */
  constructor(seed: number, faults: FormedGroupFaults) {
    this.#random = new RandomSource(seed);
    this.#faults = faults;
    this.#startDecider(this.#seat);
    this.#every(PASS_MS, () => this.#pass());
    this.#every(TICK_MS, () => {
      const tick: DeciderEvent = { kind: "tick", now: this.#now };
      this.#reduce(this.#seat, tick);
      this.#reduce(this.#rescueSeat, tick);
    });
    this.#every(PROPOSAL_MS, () => this.#propose());
    this.#every(LOOK_MS, () => this.#lookForHold());
    if (faults.deciderLifeMs > 0) this.#planDeciderEnd();
    if (faults.freezesEveryMs > 0) {
      // The first numbers of small seeds are much alike.
      this.#queue.after(FIRST_FREEZE_MS, () => this.#planFreeze());
    }
    for (const at of faults.freezesAt) {
      this.#queue.after(at, () => this.#freeze(0));
    }
    if (faults.epochMs > 0) this.#every(faults.epochMs, () => this.#reform());
  }

  /** Runs to a virtual time in milliseconds. */
  run(untilMs: number): FormedGroupResult {
    this.#queue.runUntil(untilMs);
    return {
      mixedPasses: this.#mixedPasses,
      passes: this.#passes,
      switches: this.#switches,
      longestHoldMs: this.#holds.longestMs,
      longestAvoidableHoldMs: this.#holds.longestAvoidableMs,
      freezes: this.#freezes,
      undecidableFreezes: this.#undecidable.size,
      saidBefore: this.#saidBefore,
      wasArmed: this.#wasArmed,
    };
  }

  get #now(): number {
    return this.#queue.now;
  }

  get #isIdle(): boolean {
    return this.#now % IDLE_PERIOD_MS < this.#faults.idleMs;
  }

  #every(milliseconds: number, run: () => void): void {
    this.#queue.after(milliseconds, () => {
      run();
      this.#every(milliseconds, run);
    });
  }

  #startDecider(seat: Seat): void {
    seat.number++;
    seat.decider = new FormedGroupDecider({
      state: this.#engine(seat.rank).state,
      random: this.#random,
      now: this.#now,
      firstOrderId: seat.rank * ORDER_IDS_OF_SEAT + seat.number * 2 ** 20,
    });
  }

  #endDecider(seat: Seat): void {
    seat.decider = undefined;
    seat.number++;
    seat.kept.splice(0);
  }

  #planDeciderEnd(): void {
    const life = this.#random.nextExponential(this.#faults.deciderLifeMs);
    this.#queue.after(life, () => {
      this.#endDecider(this.#seat);
      this.#queue.after(DOWN_MS, () => this.#startDecider(this.#seat));
      this.#planDeciderEnd();
    });
  }

  #reform(): void {
    for (const engine of this.#engines) engine.reform();
  }

  #pass(): void {
    if (this.#isIdle) {
      // Nobody waits for a pass that is held meanwhile.
      return this.#holds.end();
    }
    const next = this.#engine(0).state.pass + 1;
    if (this.#engines.some((engine) => !engine.mayBegin(next))) {
      return this.#countHold();
    }
    this.#holds.end();
    const before = this.#engine(0).active.version;
    for (const engine of this.#engines) engine.begin(next);
    this.#passes++;
    const maps = new Set(
      this.#engines.map((engine) => JSON.stringify(engine.active)),
    );
    if (maps.size > 1) this.#mixedPasses.push(next);
    if (this.#engine(0).active.version !== before) this.#switches++;
  }

  #countHold(): void {
    const isStuck = isUndecidable({
      isDeciderFrozen: this.#isFrozen(0),
      holder: this.#engine(HOLDER).state,
      told: this.#told?.state,
    });
    if (isStuck) this.#undecidable.add(this.#freezes);
    this.#holds.observe({
      now: this.#now,
      lookMs: PASS_MS,
      isUndecidable: isStuck,
    });
  }

  #planFreeze(): void {
    const { freezesEveryMs } = this.#faults;
    this.#queue.after(this.#random.nextExponential(freezesEveryMs), () => {
      this.#freeze(0);
      this.#planFreeze();
    });
  }

  #propose(): void {
    const map: ExpertMap = {
      layers: [{
        experts: Array.from({ length: RANKS }, () => [this.#proposals]),
      }],
    };
    this.#proposals++;
    this.#reduce(this.#seat, { kind: "map_proposed", now: this.#now, map });
  }

  /** The process beside the holder looks whether the group waits for a held pass. */
  #lookForHold(): void {
    if (this.#isFrozen(HOLDER)) return;
    const seat = this.#rescueSeat;
    const { state } = this.#engine(HOLDER);
    const awaitedMs = this.#watch.observe(state, this.#now);
    if (state.heldPass === undefined) return this.#endDecider(seat);
    if (awaitedMs === undefined) return;
    if (seat.decider === undefined) this.#startDecider(seat);
    this.#take(seat, HOLDER, { kind: "rank_report", state });
    if (this.#told !== undefined) this.#take(seat, 0, this.#told);
  }

  #take(seat: Seat, rank: number, report: RankReportMessage): void {
    this.#reduce(seat, { kind: "rank_reported", now: this.#now, rank, report });
  }

  #isFrozen(rank: number): boolean {
    return this.#now < (this.#frozenUntil[rank] as number);
  }

  #freeze(rank: number): void {
    if (rank === 0) this.#noteFreeze();
    this.#frozenUntil[rank] = this.#now + FREEZE_MS;
  }

  #noteFreeze(): void {
    this.#freezes++;
    if (this.#freezes > 1) return;
    this.#saidBefore = [...this.#said];
    this.#wasArmed = this.#engine(0).state.armed !== undefined;
  }

  #reduce(seat: Seat, event: DeciderEvent): void {
    if (this.#isFrozen(seat.rank)) {
      if (event.kind === "rank_reported") seat.kept.push(event);
      return;
    }
    for (const kept of seat.kept.splice(0)) this.#reduce(seat, kept);
    for (const effect of seat.decider?.reduce(event) ?? []) {
      this.#perform(seat, effect);
    }
  }

  #perform(seat: Seat, effect: DeciderEffect): void {
    if (this.#isFrozen(seat.rank)) return;
    if (effect.kind === "send_query") return this.#ask(seat, effect.rank);
    if (effect.kind !== "send_order") return;
    const { rank, orderId, order, isRepeated } = effect;
    // What goes to the rank's own engine does not leave the machine.
    if (seat === this.#seat && rank !== 0) {
      this.#said.push(`${this.#now} ${order.kind} ${rank}`);
    }
    if (seat === this.#seat) this.#drawFreeze(effect);
    if (isRepeated && order.kind !== "prepare") {
      this.#giveRemotely(seat, effect);
    }
    this.#deliver(
      seat,
      rank,
      () => this.#carryOut(seat, rank, { kind: "rank_order", orderId, order }),
    );
  }

  /** What is asked beside the holder, the looks at its own engine answer. */
  #ask(seat: Seat, rank: number): void {
    if (seat === this.#rescueSeat) return;
    this.#deliver(seat, rank, () =>
      this.#report(seat, rank, {
        kind: "rank_report",
        state: this.#engine(rank).state,
        experts: [[rank]],
      }));
  }

  #drawFreeze({ order }: SendOrder): void {
    const { deciderFreezes, freezesAfterHoldsOnly } = this.#faults;
    const isStruck = !freezesAfterHoldsOnly || order.kind === "hold";
    if (isStruck && this.#random.nextFraction() < deciderFreezes) {
      this.#freeze(0);
    }
  }

  /**
   * Given to the engine itself, as the rank's process does not answer. A machine that
   * stands still takes its engine's interface with it.
   */
  #giveRemotely(seat: Seat, { rank, orderId, order }: SendOrder): void {
    if (this.#isFrozen(rank)) return;
    const message: RankOrderMessage = { kind: "rank_order", orderId, order };
    const draw = this.#random.nextFraction();
    if (draw < this.#faults.lateOrders) {
      this.#applyLate(rank, message);
    } else {
      this.#apply(rank, message);
    }
    this.#queue.after(REMOTE_LOOK_MS, () => {
      const { state } = this.#engine(rank);
      const isDone = isCarriedOut(order, state);
      this.#report(seat, rank, { kind: "rank_report", state, orderId, isDone });
    });
  }

  /** Messages take some milliseconds, wait for a machine, or are lost. */
  #deliver(seat: Seat, rank: number, run: () => void): void {
    const { number } = seat;
    const { lostMessages, rankFreezes } = this.#faults;
    if (this.#random.nextFraction() < lostMessages) return;
    this.#queue.after(1 + this.#random.nextBelow(12), () => {
      const frozenMs = (this.#frozenUntil[rank] as number) - this.#now;
      const isStruck = this.#random.nextFraction() < rankFreezes;
      this.#queue.after(Math.max(0, frozenMs), () => {
        if (number === seat.number) run();
        if (isStruck) this.#freeze(rank);
      });
    });
  }

  #report(seat: Seat, rank: number, report: RankReportMessage): void {
    const { number } = seat;
    if (this.#random.nextFraction() < this.#faults.lostMessages) return;
    this.#queue.after(1 + this.#random.nextBelow(12), () => {
      if (number !== seat.number) return;
      this.#take(seat, rank, report);
      if (seat === this.#seat && rank === 0) this.#tellHolder(report);
    });
  }

  #tellHolder(report: RankReportMessage): void {
    const { state, orderId } = report;
    if (this.#isFrozen(0) || orderId === undefined) return;
    if (state.armed === undefined) return;
    this.#said.push(`${this.#now} armed ${state.armed.pass}`);
    this.#deliver(this.#seat, HOLDER, () => {
      this.#told = report;
    });
  }

  /** The rank's process gives an order, and gives it again unless answered. */
  #carryOut(seat: Seat, rank: number, message: RankOrderMessage): void {
    if (this.#orders.get(rank)?.orderId === message.orderId) return;
    if (this.#random.nextFraction() < this.#faults.forgottenOrders) {
      this.#orders.delete(rank);
      return;
    }
    this.#orders.set(rank, message);
    this.#give(seat, rank, message);
  }

  #give(seat: Seat, rank: number, message: RankOrderMessage): void {
    if (this.#orders.get(rank) !== message) return;
    const engine = this.#engine(rank);
    const { order } = message;
    const draw = this.#random.nextFraction();
    const { lateOrders, lostAnswers } = this.#faults;
    if (draw < lateOrders) {
      this.#applyLate(rank, message);
      return this.#queue.after(
        ORDER_LIMIT_MS,
        () => this.#settle(seat, rank, message, "unanswered"),
      );
    }
    const isAccepted = this.#apply(rank, message);
    if (draw < lateOrders + lostAnswers) {
      return this.#queue.after(
        ORDER_LIMIT_MS,
        () => this.#settle(seat, rank, message, "unanswered"),
      );
    }
    const isLoading = order.kind === "prepare" && isAccepted &&
      !isCarriedOut(order, engine.state);
    this.#queue.after(
      isLoading ? LOAD_MS + TICK_MS : 2,
      () => this.#settle(seat, rank, message, "answered"),
    );
  }

  #applyLate(rank: number, message: RankOrderMessage): void {
    const lateMs = LATE_MIN_MS + this.#random.nextBelow(LATE_SPREAD_MS);
    this.#queue.after(lateMs, () => this.#apply(rank, message));
  }

  /** An engine that is fenced prepares a map without a copy, so at once. */
  #apply(rank: number, { order }: RankOrderMessage): boolean {
    const engine = this.#engine(rank);
    if (order.kind === "fence") {
      const map: ExpertMap = { layers: [] };
      const isFenced = engine.carryOut({ ...order, kind: "prepare", map });
      if (isFenced) engine.finishLoading(order.version);
      return isFenced;
    }
    const isAccepted = engine.carryOut(order);
    if (order.kind === "prepare" && isAccepted) {
      this.#queue.after(LOAD_MS, () => engine.finishLoading(order.version));
    }
    return isAccepted;
  }

  #settle(
    seat: Seat,
    rank: number,
    message: RankOrderMessage,
    outcome: "answered" | "unanswered",
  ): void {
    if (this.#orders.get(rank) !== message) return;
    const { order, orderId } = message;
    const { state } = this.#engine(rank);
    const isDone = isCarriedOut(order, state);
    const isSettled = isDone || outcome === "answered" ||
      state.epoch !== order.epoch;
    if (!isSettled) return this.#give(seat, rank, message);
    this.#orders.delete(rank);
    this.#report(seat, rank, { kind: "rank_report", state, orderId, isDone });
  }

  #engine(rank: number): FakeFormedEngine {
    return this.#engines[rank] as FakeFormedEngine;
  }
}
