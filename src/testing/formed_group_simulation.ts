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
  isExecuted,
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
const RESTART_MS = 1500;
const FREEZE_MS = 4000;
const FIRST_FREEZE_MS = 1000;
const HOLD_CHECK_INTERVAL_MS = 100;
/** Milliseconds until an engine shows other VMs the effect of an order. */
const REMOTE_READ_DELAY_MS = 240;
const ORDER_IDS_PER_PROCESS = 2 ** 32;

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
   * The longest hold, not counting the time in which no process could know what the
   * decider's rank will do.
   */
  readonly longestAvoidableHoldMs: number;
  /** Number of freezes of the decider's VM. */
  readonly freezes: number;
  /**
   * Number of those freezes in which the group waited because no process could know
   * what the decider's rank will do.
   */
  readonly undecidableFreezes: number;
  /** Messages that had left the decider's VM before its first freeze. */
  readonly sentBeforeFreeze: readonly string[];
  /** Whether the decider's own rank was armed at that time. */
  readonly wasArmedAtFreeze: boolean;
}

/** A process beside a rank that decides switches or recovers them. */
interface DeciderProcess {
  readonly rank: number;
  decider: FormedGroupDecider | undefined;
  /** Grows with each decider, so that messages to an ended one are dropped. */
  number: number;
  /** Events that arrived while the VM was frozen. */
  readonly deferredEvents: DeciderEvent[];
}

function createDeciderProcess(rank: number): DeciderProcess {
  return { rank, decider: undefined, number: 0, deferredEvents: [] };
}

/** A formed group in virtual time. */
export class FormedGroupSimulation {
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #faults: FormedGroupFaults;
  readonly #engines: FormedGroupEngines;
  readonly #orders: FormedGroupOrders;
  readonly #decider = createDeciderProcess(0);
  readonly #recovery = createDeciderProcess(HOLDER);
  readonly #watch = new HeldPassWatch();
  /** The last report to the holder's sidecar that rank 0 is armed. */
  #armedReport: RankReportMessage | undefined;
  /** Until when the VM of each rank is frozen. */
  readonly #frozenUntil = new Array<number>(RANKS).fill(0);
  readonly #holds = new HoldRecord();
  #freezes = 0;
  /**
   * Numbers of the freezes of the decider's VM during which the switch was undecidable.
   */
  readonly #undecidableFreezes = new Set<number>();
  /** Messages that have left the decider's VM. */
  readonly #sentMessages: string[] = [];
  #sentBeforeFreeze: readonly string[] = [];
  #wasArmedAtFreeze = false;
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
    this.#startDecider(this.#decider);
    this.#repeat(PASS_MS, () => this.#runPass());
    this.#repeat(TICK_MS, () => {
      const tick: DeciderEvent = { kind: "tick", now: this.#now };
      this.#reduce(this.#decider, tick);
      this.#reduce(this.#recovery, tick);
    });
    this.#repeat(PROPOSAL_MS, () => this.#propose());
    this.#repeat(HOLD_CHECK_INTERVAL_MS, () => this.#checkHeldPass());
    if (faults.deciderLifeMs > 0) this.#scheduleDeciderEnd();
    if (faults.freezeIntervalMs > 0) {
      // Small seeds give similar first random numbers, so the first freeze is scheduled
      // later.
      this.#queue.after(FIRST_FREEZE_MS, () => this.#scheduleFreeze());
    }
    for (const at of faults.freezeTimes) {
      this.#queue.after(at, () => this.#freeze(0));
    }
    if (faults.epochMs > 0) {
      this.#repeat(faults.epochMs, () => this.#engines.formAgain());
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
      undecidableFreezes: this.#undecidableFreezes.size,
      sentBeforeFreeze: this.#sentBeforeFreeze,
      wasArmedAtFreeze: this.#wasArmedAtFreeze,
    };
  }

  get #now(): number {
    return this.#queue.now;
  }

  get #isIdle(): boolean {
    return this.#now % IDLE_PERIOD_MS < this.#faults.idleMs;
  }

  #repeat(milliseconds: number, run: () => void): void {
    this.#queue.after(milliseconds, () => {
      run();
      this.#repeat(milliseconds, run);
    });
  }

  #startDecider(process: DeciderProcess): void {
    process.number++;
    process.decider = new FormedGroupDecider({
      state: this.#engines.getState(process.rank),
      random: this.#random,
      now: this.#now,
      firstOrderId: process.rank * ORDER_IDS_PER_PROCESS +
        process.number * 2 ** 20,
    });
  }

  #endDecider(process: DeciderProcess): void {
    process.decider = undefined;
    process.number++;
    process.deferredEvents.splice(0);
  }

  #scheduleDeciderEnd(): void {
    const lifetimeMs = this.#random.nextExponential(this.#faults.deciderLifeMs);
    this.#queue.after(lifetimeMs, () => {
      this.#endDecider(this.#decider);
      this.#queue.after(RESTART_MS, () => this.#startDecider(this.#decider));
      this.#scheduleDeciderEnd();
    });
  }

  #runPass(): void {
    // A hold during a time without requests delays nobody.
    if (this.#isIdle || this.#engines.tryBeginPass()) return this.#holds.end();
    this.#recordHold();
  }

  #recordHold(): void {
    const isHoldUndecidable = isUndecidable({
      isDeciderFrozen: this.#isFrozen(0),
      holder: this.#engines.getState(HOLDER),
      lastArmedState: this.#armedReport?.state,
    });
    if (isHoldUndecidable) this.#undecidableFreezes.add(this.#freezes);
    this.#holds.observe({
      now: this.#now,
      intervalMs: PASS_MS,
      isUndecidable: isHoldUndecidable,
    });
  }

  #scheduleFreeze(): void {
    const { freezeIntervalMs } = this.#faults;
    this.#queue.after(this.#random.nextExponential(freezeIntervalMs), () => {
      this.#freeze(0);
      this.#scheduleFreeze();
    });
  }

  #propose(): void {
    const map: ExpertMap = {
      layers: [{
        experts: Array.from({ length: RANKS }, () => [this.#proposals]),
      }],
    };
    this.#proposals++;
    this.#reduce(this.#decider, { kind: "map_proposed", now: this.#now, map });
  }

  /** Checks, as the holder's sidecar, whether the group waits for a held pass. */
  #checkHeldPass(): void {
    if (this.#isFrozen(HOLDER)) return;
    const process = this.#recovery;
    const state = this.#engines.getState(HOLDER);
    const awaitedMs = this.#watch.observe(state, this.#now);
    if (state.heldPass === undefined) return this.#endDecider(process);
    if (awaitedMs === undefined) return;
    if (process.decider === undefined) this.#startDecider(process);
    this.#receive(process, HOLDER, { kind: "rank_report", state });
    if (this.#armedReport !== undefined) {
      this.#receive(process, 0, this.#armedReport);
    }
  }

  #receive(
    process: DeciderProcess,
    rank: number,
    report: RankReportMessage,
  ): void {
    this.#reduce(process, {
      kind: "rank_reported",
      now: this.#now,
      rank,
      report,
    });
  }

  #isFrozen(rank: number): boolean {
    return this.#now < (this.#frozenUntil[rank] as number);
  }

  #freeze(rank: number): void {
    if (rank === 0) this.#recordFreeze();
    this.#frozenUntil[rank] = this.#now + FREEZE_MS;
  }

  #recordFreeze(): void {
    this.#freezes++;
    if (this.#freezes > 1) return;
    this.#sentBeforeFreeze = [...this.#sentMessages];
    this.#wasArmedAtFreeze = this.#engines.getState(0).armed !== undefined;
  }

  #reduce(process: DeciderProcess, event: DeciderEvent): void {
    if (this.#isFrozen(process.rank)) {
      if (event.kind === "rank_reported") process.deferredEvents.push(event);
      return;
    }
    for (const deferredEvent of process.deferredEvents.splice(0)) {
      this.#reduce(process, deferredEvent);
    }
    for (const effect of process.decider?.reduce(event) ?? []) {
      this.#perform(process, effect);
    }
  }

  #perform(process: DeciderProcess, effect: DeciderEffect): void {
    if (this.#isFrozen(process.rank)) return;
    if (effect.kind === "send_query") return this.#query(process, effect.rank);
    if (effect.kind !== "send_order") return;
    const { rank, orderId, order, isRepeated } = effect;
    // Messages to the rank's own engine do not leave the VM.
    if (process === this.#decider && rank !== 0) {
      this.#sentMessages.push(`${this.#now} ${order.kind} ${rank}`);
    }
    if (process === this.#decider) this.#freezeAtRandom(effect);
    if (isRepeated && order.kind !== "prepare") {
      this.#sendDirectly(process, effect);
    }
    this.#deliver(
      process,
      rank,
      () =>
        this.#execute(process, rank, { kind: "rank_order", orderId, order }),
    );
  }

  /**
   * Queries a rank. The holder's sidecar needs no queries, as it reads its own engine.
   */
  #query(process: DeciderProcess, rank: number): void {
    if (process === this.#recovery) return;
    this.#deliver(process, rank, () =>
      this.#report(process, rank, {
        kind: "rank_report",
        state: this.#engines.getState(rank),
        experts: [[rank]],
      }));
  }

  #freezeAtRandom({ order }: SendOrder): void {
    const { deciderFreezes, freezesAfterHoldsOnly } = this.#faults;
    const mayFreeze = !freezesAfterHoldsOnly || order.kind === "hold";
    if (mayFreeze && this.#random.nextFraction() < deciderFreezes) {
      this.#freeze(0);
    }
  }

  /**
   * Sends an order directly to the engine because the rank's sidecar does not answer. The
   * engine of a frozen VM cannot be reached.
   */
  #sendDirectly(
    process: DeciderProcess,
    { rank, orderId, order }: SendOrder,
  ): void {
    if (this.#isFrozen(rank)) return;
    const message: RankOrderMessage = { kind: "rank_order", orderId, order };
    const fraction = this.#random.nextFraction();
    if (fraction < this.#faults.lateOrders) {
      this.#engines.executeLate(rank, message);
    } else {
      this.#engines.execute(rank, message);
    }
    this.#queue.after(REMOTE_READ_DELAY_MS, () => {
      const state = this.#engines.getState(rank);
      const isDone = isExecuted(order, state);
      this.#report(process, rank, {
        kind: "rank_report",
        state,
        orderId,
        isDone,
      });
    });
  }

  /**
   * Delivers a message after some milliseconds, when the VM is not frozen, unless it is
   * lost.
   */
  #deliver(process: DeciderProcess, rank: number, run: () => void): void {
    const { number } = process;
    const { lostMessages, rankFreezes } = this.#faults;
    if (this.#random.nextFraction() < lostMessages) return;
    this.#queue.after(1 + this.#random.nextBelow(12), () => {
      const frozenMs = (this.#frozenUntil[rank] as number) - this.#now;
      const startsFreeze = this.#random.nextFraction() < rankFreezes;
      this.#queue.after(Math.max(0, frozenMs), () => {
        if (number === process.number) run();
        if (startsFreeze) this.#freeze(rank);
      });
    });
  }

  #execute(
    process: DeciderProcess,
    rank: number,
    message: RankOrderMessage,
  ): void {
    this.#orders.execute(
      (report) => this.#report(process, rank, report),
      rank,
      message,
    );
  }

  #report(
    process: DeciderProcess,
    rank: number,
    report: RankReportMessage,
  ): void {
    const { number } = process;
    if (this.#random.nextFraction() < this.#faults.lostMessages) return;
    this.#queue.after(1 + this.#random.nextBelow(12), () => {
      if (number !== process.number) return;
      this.#receive(process, rank, report);
      if (process === this.#decider && rank === 0) this.#reportToHolder(report);
    });
  }

  #reportToHolder(report: RankReportMessage): void {
    const { state, orderId } = report;
    if (this.#isFrozen(0) || orderId === undefined) return;
    if (state.armed === undefined) return;
    this.#sentMessages.push(`${this.#now} armed ${state.armed.pass}`);
    this.#deliver(this.#decider, HOLDER, () => {
      this.#armedReport = report;
    });
  }
}
