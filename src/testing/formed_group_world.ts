/**
 * A formed group, its ranks' processes and its decider in virtual time, with
 * orders that engines answer late, lose or carry out seconds later, and with
 * deciders and processes that end at any moment.
 *
 * @module
 */
import { RandomSource } from "../core/random_source.ts";
import { FormedGroupDecider } from "../group/formed/decider.ts";
import type {
  DeciderEffect,
  DeciderEvent,
} from "../group/formed/decider_types.ts";
import {
  HOLDER_RANK,
  isCarriedOut,
  type PassOfEpoch,
  type RankOrderMessage,
  type RankReportMessage,
} from "../group/formed/types.ts";
import type { ExpertMap } from "../group/types.ts";
import {
  planRescue,
  type RankWord,
  type RescuePlan,
} from "../group/formed/rescue.ts";
import { SwitchPromises } from "../group/formed/switch_promises.ts";
import { EventQueue } from "./event_queue.ts";
import { FakeFormedEngine } from "./fake_formed_engine.ts";

/** How often things go wrong, as shares from 0 to 1. */
export interface FormedGroupFaults {
  /** Orders that are carried out 2 to 12 s later, without an answer. */
  readonly lateOrders: number;
  /** Orders that are carried out at once, without an answer. */
  readonly lostAnswers: number;
  /** Messages between processes that are lost with their connection. */
  readonly lostMessages: number;
  /** Milliseconds between two ends of the decider; 0: never. */
  readonly deciderLifeMs: number;
  /**
   * Share of the decider's messages after which it stands still for four seconds,
   * what arrives meanwhile being kept for it.
   */
  readonly deciderFreezes: number;
  /** Whether only the order to hold a pass can be the last before it. */
  readonly freezesAfterHoldsOnly: boolean;
  /** Milliseconds between two formations of the group; 0: never. */
  readonly epochMs: number;
  /** Milliseconds of each ten seconds in which there is no work. */
  readonly idleMs: number;
}

/** What a run showed. */
export interface FormedGroupResult {
  /** Passes that began with more than one map. */
  readonly mixedPasses: readonly number[];
  readonly passes: number;
  /** Maps that came into force. */
  readonly switches: number;
  /** Longest time for which a pass was held, in milliseconds. */
  readonly longestHoldMs: number;
}

const RANKS = 4;
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
const LOOK_MS = 100;
const SUSPICIOUS_MS = 300;
/** Milliseconds in which the ranks must answer the one that asks about a hold. */
const ANSWER_MS = 120;
/** Orders about a hold that was left behind are numbered from here. */
const FIRST_RESCUE_ORDER = 2 ** 40;

/** A formed group in virtual time. */
export class FormedGroupWorld {
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #faults: FormedGroupFaults;
  readonly #engines = Array.from(
    { length: RANKS },
    (_, rank) => new FakeFormedEngine(rank, RANKS),
  );
  #decider: FormedGroupDecider | undefined;
  /** Grows with each decider, so that messages to an ended one are dropped. */
  #deciderNumber = 0;
  readonly #orders = new Map<number, RankOrderMessage>();
  readonly #mixedPasses: number[] = [];
  #passes = 0;
  #switches = 0;
  #heldSince: number | undefined;
  #longestHoldMs = 0;
  #proposals = 0;
  #frozenUntil = 0;
  readonly #keptEvents: DeciderEvent[] = [];
  readonly #promises = Array.from(
    { length: RANKS },
    () => new SwitchPromises(),
  );
  #holdKey: string | undefined;
  #holdSince = 0;
  #isRescuing = false;
  #words = new Map<number, RankWord>();
  #nextRescueOrder = FIRST_RESCUE_ORDER;

  /** The same seed gives the same run. */
  constructor(seed: number, faults: FormedGroupFaults) {
    this.#random = new RandomSource(seed);
    this.#faults = faults;
    this.#startDecider();
    this.#every(PASS_MS, () => this.#pass());
    this.#every(TICK_MS, () => this.#reduce({ kind: "tick", now: this.#now }));
    this.#every(PROPOSAL_MS, () => this.#propose());
    this.#every(LOOK_MS, () => this.#lookForHold());
    if (faults.deciderLifeMs > 0) this.#planDeciderEnd();
    if (faults.epochMs > 0) this.#every(faults.epochMs, () => this.#reform());
  }

  /** Runs to a virtual time in milliseconds. */
  run(untilMs: number): FormedGroupResult {
    this.#queue.runUntil(untilMs);
    return {
      mixedPasses: this.#mixedPasses,
      passes: this.#passes,
      switches: this.#switches,
      longestHoldMs: this.#longestHoldMs,
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

  #startDecider(): void {
    this.#deciderNumber++;
    this.#decider = new FormedGroupDecider({
      state: this.#engine(0).state,
      random: this.#random,
      now: this.#now,
    });
  }

  #planDeciderEnd(): void {
    const life = this.#random.nextExponential(this.#faults.deciderLifeMs);
    this.#queue.after(life, () => {
      this.#decider = undefined;
      this.#deciderNumber++;
      this.#queue.after(DOWN_MS, () => this.#startDecider());
      this.#planDeciderEnd();
    });
  }

  #reform(): void {
    for (const engine of this.#engines) engine.reform();
  }

  #pass(): void {
    if (this.#isIdle) {
      // Nobody waits for a pass that is held meanwhile.
      this.#heldSince = undefined;
      return;
    }
    const next = this.#engine(0).state.pass + 1;
    if (this.#engines.some((engine) => !engine.mayBegin(next))) {
      this.#heldSince ??= this.#now;
      const heldMs = this.#now - this.#heldSince;
      this.#longestHoldMs = Math.max(this.#longestHoldMs, heldMs);
      return;
    }
    this.#heldSince = undefined;
    const before = this.#engine(0).active.version;
    for (const engine of this.#engines) engine.begin(next);
    this.#passes++;
    const maps = new Set(
      this.#engines.map((engine) => JSON.stringify(engine.active)),
    );
    if (maps.size > 1) this.#mixedPasses.push(next);
    if (this.#engine(0).active.version !== before) this.#switches++;
  }

  #propose(): void {
    const map: ExpertMap = {
      layers: [{
        experts: Array.from({ length: RANKS }, () => [this.#proposals]),
      }],
    };
    this.#proposals++;
    this.#reduce({ kind: "map_proposed", now: this.#now, map });
  }

  /** The process beside the holder looks whether its hold is left behind. */
  #lookForHold(): void {
    const { epoch, heldPass } = this.#engine(HOLDER_RANK).state;
    const key = heldPass === undefined ? undefined : `${epoch}.${heldPass}`;
    if (key !== this.#holdKey) this.#holdSince = this.#now;
    this.#holdKey = key;
    if (key === undefined) return;
    if (this.#now - this.#holdSince < SUSPICIOUS_MS) return;
    if (this.#isRescuing) return;
    this.#isRescuing = true;
    this.#rescue();
  }

  /** As the process beside the holder does: ask, perhaps ask again, then order. */
  #rescue(): void {
    this.#askForWords(undefined, () => {
      const plan = planRescue([...this.#words.values()], RANKS);
      if (plan.kind !== "ask_to_refuse") return this.#endRescue(plan);
      this.#askForWords(plan.refuse, () => {
        this.#endRescue(planRescue([...this.#words.values()], RANKS));
      });
    });
  }

  #endRescue(plan: RescuePlan): void {
    this.#isRescuing = false;
    if (plan.kind !== "orders") return;
    for (const { rank, order } of plan.orders) {
      const orderId = this.#nextRescueOrder++;
      this.#deliverWord(
        rank,
        () => this.#carryOut(rank, { kind: "rank_order", orderId, order }),
      );
    }
  }

  /** Each rank is asked, and answers, when its message arrives. */
  #askForWords(refuse: PassOfEpoch | undefined, then: () => void): void {
    this.#words = new Map();
    const words = this.#words;
    for (let rank = 0; rank < RANKS; rank++) {
      this.#deliverWord(rank, () => {
        const promises = this.#promisesOf(rank);
        if (refuse !== undefined) promises.refuse(refuse);
        const { state } = this.#engine(rank);
        const word = { state, ...promises.of(state.epoch) };
        this.#deliverWord(HOLDER_RANK, () => words.set(rank, word));
      });
    }
    this.#queue.after(ANSWER_MS, then);
  }

  /** Lost with its connection, or because the machine of rank 0 stands still. */
  #deliverWord(rank: number, run: () => void): void {
    const { lostMessages } = this.#faults;
    if (this.#random.nextFraction() < lostMessages) return;
    this.#queue.after(1 + this.#random.nextBelow(12), () => {
      if (rank !== 0 || this.#now >= this.#frozenUntil) run();
    });
  }

  #promisesOf(rank: number): SwitchPromises {
    return this.#promises[rank] as SwitchPromises;
  }

  #reduce(event: DeciderEvent): void {
    if (this.#now < this.#frozenUntil) {
      if (event.kind === "rank_reported") this.#keptEvents.push(event);
      return;
    }
    for (const kept of this.#keptEvents.splice(0)) this.#reduce(kept);
    for (const effect of this.#decider?.reduce(event) ?? []) {
      this.#perform(effect);
    }
  }

  #perform(effect: DeciderEffect): void {
    if (effect.kind === "send_query") {
      return this.#deliver(() =>
        this.#report(effect.rank, {
          kind: "rank_report",
          state: this.#engine(effect.rank).state,
          experts: effect.withExperts ? [[effect.rank]] : undefined,
        })
      );
    }
    if (effect.kind !== "send_order") return;
    const { rank, orderId, order } = effect;
    if (this.#now < this.#frozenUntil) return;
    const isStruck = !this.#faults.freezesAfterHoldsOnly ||
      order.kind === "hold";
    if (isStruck && this.#random.nextFraction() < this.#faults.deciderFreezes) {
      this.#frozenUntil = this.#now + FREEZE_MS;
    }
    this.#deliver(() =>
      this.#carryOut(rank, { kind: "rank_order", orderId, order })
    );
  }

  /** Messages take some milliseconds, or are lost. */
  #deliver(run: () => void): void {
    const number = this.#deciderNumber;
    if (this.#random.nextFraction() < this.#faults.lostMessages) return;
    this.#queue.after(1 + this.#random.nextBelow(12), () => {
      if (number === this.#deciderNumber) run();
    });
  }

  #report(rank: number, report: RankReportMessage): void {
    this.#deliver(() =>
      this.#reduce({ kind: "rank_reported", now: this.#now, rank, report })
    );
  }

  /** The rank's process gives an order, and gives it again unless answered. */
  #carryOut(rank: number, message: RankOrderMessage): void {
    if (this.#orders.get(rank)?.orderId === message.orderId) return;
    if (rank === 0 && this.#now < this.#frozenUntil) return;
    const { order, orderId } = message;
    if (order.kind === "arm" && !this.#promisesOf(rank).tryOrder(order)) {
      const { state } = this.#engine(rank);
      return this.#report(rank, {
        kind: "rank_report",
        state,
        orderId,
        isDone: false,
      });
    }
    this.#orders.set(rank, message);
    this.#give(rank, message);
  }

  #give(rank: number, message: RankOrderMessage): void {
    if (this.#orders.get(rank) !== message) return;
    const engine = this.#engine(rank);
    const { order } = message;
    const draw = this.#random.nextFraction();
    const { lateOrders, lostAnswers } = this.#faults;
    if (draw < lateOrders) {
      const lateMs = LATE_MIN_MS + this.#random.nextBelow(LATE_SPREAD_MS);
      this.#queue.after(lateMs, () => this.#apply(rank, message));
      return this.#queue.after(
        ORDER_LIMIT_MS,
        () => this.#settle(rank, message, "unanswered"),
      );
    }
    const isAccepted = this.#apply(rank, message);
    if (draw < lateOrders + lostAnswers) {
      return this.#queue.after(
        ORDER_LIMIT_MS,
        () => this.#settle(rank, message, "unanswered"),
      );
    }
    const isLoading = order.kind === "prepare" && isAccepted &&
      !isCarriedOut(order, engine.state);
    this.#queue.after(
      isLoading ? LOAD_MS + TICK_MS : 2,
      () => this.#settle(rank, message, "answered"),
    );
  }

  #apply(rank: number, message: RankOrderMessage): boolean {
    const { order } = message;
    const engine = this.#engine(rank);
    const isAccepted = engine.carryOut(order);
    if (order.kind === "prepare" && isAccepted) {
      this.#queue.after(LOAD_MS, () => engine.finishLoading(order.version));
    }
    return isAccepted;
  }

  #settle(
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
    if (!isSettled) return this.#give(rank, message);
    this.#orders.delete(rank);
    this.#report(rank, { kind: "rank_report", state, orderId, isDone });
  }

  #engine(rank: number): FakeFormedEngine {
    return this.#engines[rank] as FakeFormedEngine;
  }
}
