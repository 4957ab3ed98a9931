/**
 * Simulates a formed group, the sidecars of its ranks and its deciders, in virtual time.
 * Engines answer orders late, lose them or execute them seconds later; messages between
 * processes are lost; VMs are frozen and processes end at any time.
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
  isCarriedOut,
  type RankOrderMessage,
  type RankReportMessage,
} from "../messages/formed_group_types.ts";
import type { ExpertMap } from "../messages/group_types.ts";
import { EventQueue } from "./event_queue.ts";
import { FormedGroupEngines, HOLDER, RANKS } from "./formed_group_engines.ts";
import { FormedGroupOrders } from "./formed_group_orders.ts";
import type { FormedGroupFaults } from "./formed_group_faults.ts";
import { HoldRecord, isUndecidable } from "./hold_record.ts";

const PASS_MS = 40;
const TICK_MS = 20;
const PROPOSAL_MS = 150;
const IDLE_PERIOD_MS = 10_000;
const DOWN_MS = 1500;
const FREEZE_MS = 4000;
const FIRST_FREEZE_MS = 1000;
const LOOK_MS = 100;
/** Milliseconds until an engine shows other VMs the effect of an order. */
const REMOTE_LOOK_MS = 240;
const ORDER_IDS_OF_SEAT = 2 ** 32;

/** Results of a run. */
export interface FormedGroupResult {
  /** Passes that began with more than one map. */
  readonly mixedPasses: readonly number[];
  readonly passes: number;
  /** Number of maps that came into force. */
  readonly switches: number;
  /** Longest time for which a pass was held, in milliseconds. */
  readonly longestHoldMs: number;
  /**
   * The same without the time in which no process could know what the decider's rank will
   * do.
   */
  readonly longestAvoidableHoldMs: number;
  /** Number of freezes of the decider's VM. */
  readonly freezes: number;
  /**
   * Number of those freezes in which the group waited because no process could know that.
   */
  readonly undecidableFreezes: number;
  /** Messages that had left the decider's VM before its first freeze. */
  readonly saidBefore: readonly string[];
  /** Whether the decider's own rank was armed at that time. */
  readonly wasArmed: boolean;
}

/** A process beside a rank that decides switches or recovers them. */
interface Seat {
  readonly rank: number;
  decider: FormedGroupDecider | undefined;
  /** Grows with each decider, so that messages to an ended one are dropped. */
  number: number;
  /** Events that arrived while the VM was frozen. */
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
  readonly #engines: FormedGroupEngines;
  readonly #orders: FormedGroupOrders;
  readonly #seat = createSeat(0);
  readonly #rescueSeat = createSeat(HOLDER);
  readonly #watch = new HeldPassWatch();
  /** The last report to the holder's sidecar that rank 0 is armed. */
  #told: RankReportMessage | undefined;
  /** Until when the VM of each rank is frozen. */
  readonly #frozenUntil = new Array<number>(RANKS).fill(0);
  readonly #holds = new HoldRecord();
  #freezes = 0;
  /**
   * Numbers of the freezes of the decider's VM during which the switch was undecidable.
   */
  readonly #undecidable = new Set<number>();
  /** Messages that have left the decider's VM. */
  readonly #said: string[] = [];
  #saidBefore: readonly string[] = [];
  #wasArmed = false;
  #proposals = 0;

  /** Creates a group; the same seed gives the same run. */
  constructor(seed: number, faults: FormedGroupFaults) {
    this.#random = new RandomSource(seed);
    this.#faults = faults;
    this.#engines = new FormedGroupEngines(this.#queue, this.#random);
    this.#orders = new FormedGroupOrders({
      queue: this.#queue,
      random: this.#random,
      faults,
      engines: this.#engines,
    });
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
      // Small seeds give similar first random numbers, so the first freeze is scheduled
      // later.
      this.#queue.after(FIRST_FREEZE_MS, () => this.#planFreeze());
    }
    for (const at of faults.freezesAt) {
      this.#queue.after(at, () => this.#freeze(0));
    }
    if (faults.epochMs > 0) {
      this.#every(faults.epochMs, () => this.#engines.formAgain());
    }
  }

  /** Runs up to a virtual time in milliseconds. */
  run(untilMs: number): FormedGroupResult {
    this.#queue.runUntil(untilMs);
    return {
      mixedPasses: this.#engines.mixedPasses,
      passes: this.#engines.passes,
      switches: this.#engines.switches,
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
      state: this.#engines.getState(seat.rank),
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

  #pass(): void {
    // A hold during a time without requests delays nobody.
    if (this.#isIdle || this.#engines.tryBeginPass()) return this.#holds.end();
    this.#countHold();
  }

  #countHold(): void {
    const isStuck = isUndecidable({
      isDeciderFrozen: this.#isFrozen(0),
      holder: this.#engines.getState(HOLDER),
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

  /** Checks, as the holder's sidecar, whether the group waits for a held pass. */
  #lookForHold(): void {
    if (this.#isFrozen(HOLDER)) return;
    const seat = this.#rescueSeat;
    const state = this.#engines.getState(HOLDER);
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
    this.#wasArmed = this.#engines.getState(0).armed !== undefined;
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
    // Messages to the rank's own engine do not leave the VM.
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

  /**
   * Queries a rank. The holder's sidecar needs no queries, as it reads its own engine.
   */
  #ask(seat: Seat, rank: number): void {
    if (seat === this.#rescueSeat) return;
    this.#deliver(seat, rank, () =>
      this.#report(seat, rank, {
        kind: "rank_report",
        state: this.#engines.getState(rank),
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
   * Sends an order directly to the engine because the rank's sidecar does not answer. The
   * engine of a frozen VM cannot be reached.
   */
  #giveRemotely(seat: Seat, { rank, orderId, order }: SendOrder): void {
    if (this.#isFrozen(rank)) return;
    const message: RankOrderMessage = { kind: "rank_order", orderId, order };
    const draw = this.#random.nextFraction();
    if (draw < this.#faults.lateOrders) {
      this.#engines.executeLate(rank, message);
    } else {
      this.#engines.execute(rank, message);
    }
    this.#queue.after(REMOTE_LOOK_MS, () => {
      const state = this.#engines.getState(rank);
      const isDone = isCarriedOut(order, state);
      this.#report(seat, rank, { kind: "rank_report", state, orderId, isDone });
    });
  }

  /**
   * Delivers a message after some milliseconds, when the VM is not frozen, unless it is
   * lost.
   */
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

  #carryOut(seat: Seat, rank: number, message: RankOrderMessage): void {
    this.#orders.execute(
      (report) => this.#report(seat, rank, report),
      rank,
      message,
    );
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
}
