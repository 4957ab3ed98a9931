/**
 * Simulates a small formed group in which the next event is chosen at random from all
 * that can happen. Messages and orders arrive in any order, late, twice or never;
 * processes end at any moment; passes begin whenever no engine holds them. Delays are not
 * simulated.
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
import {
  type EngineOrder,
  getHolderRank,
  isExecuted,
  type RankOrder,
} from "../messages/formed_group_types.ts";
import type { ExpertMap } from "../messages/group_types.ts";
import { FakeFormedEngine } from "./fake_formed_engine.ts";

/** Results of a run. */
export interface SwitchOrdersResult {
  /** Passes that began with more than one map. */
  readonly mixedPasses: readonly number[];
  /** Number of maps that came into force. */
  readonly switches: number;
}

const RANKS = 3;
const HOLDER = getHolderRank(RANKS);
/** Milliseconds of a tick; longer than the delay until an order is sent again. */
const TICK_MS = 1500;
/** Probability of a proposal; it has an effect only while no switch is in progress. */
const PROPOSAL_PROBABILITY = 0.05;

/** Probability that each kind of event is the next one, chosen at random for each run. */
interface Probabilities {
  readonly pass: number;
  readonly tick: number;
  /** The holder's sidecar assumes that a held pass was abandoned. */
  readonly recovery: number;
  /** A process ends. */
  readonly end: number;
  /** An undelivered message is lost. */
  readonly loss: number;
  /** A delivered message arrives again. */
  readonly repeat: number;
}

/** A process that decides switches or recovers them. */
interface Process {
  readonly rank: number;
  decider: FormedGroupDecider;
  /** Grows with each incarnation; messages to an earlier one are dropped. */
  incarnation: number;
}

/** A small formed group in which the next event is chosen at random. */
export class SwitchOrdersSimulation {
  readonly #random: RandomSource;
  readonly #probabilities: Probabilities;
  readonly #engines = Array.from(
    { length: RANKS },
    (_, rank) => new FakeFormedEngine(rank, RANKS),
  );
  readonly #decider: Process;
  readonly #recovery: Process;
  /** All undelivered messages. */
  readonly #pending: (() => void)[] = [];
  readonly #mixedPasses: number[] = [];
  #now = 0;
  #incarnations = 0;
  #proposedMaps = 0;
  #switches = 0;

  /** Creates a group; the same seed gives the same run. */
  constructor(seed: number) {
    this.#random = new RandomSource(seed);
    const upTo = (max: number) => max * this.#random.nextFraction();
    this.#probabilities = {
      pass: upTo(0.08),
      tick: upTo(0.2),
      recovery: upTo(0.05),
      end: upTo(0.005),
      loss: upTo(0.15),
      repeat: upTo(0.3),
    };
    this.#decider = this.#createProcess(0);
    this.#recovery = this.#createProcess(HOLDER);
  }

  /** Runs a number of events. */
  run(events: number): SwitchOrdersResult {
    for (let event = 0; event < events; event++) this.#next();
    return { mixedPasses: this.#mixedPasses, switches: this.#switches };
  }

  #createProcess(rank: number): Process {
    return { rank, decider: this.#createDecider(rank), incarnation: 0 };
  }

  #createDecider(rank: number): FormedGroupDecider {
    return new FormedGroupDecider({
      state: this.#getEngine(rank).state,
      random: this.#random,
      now: this.#now,
      firstOrderId: this.#incarnations++ * 2 ** 20,
    });
  }

  #next(): void {
    const { pass, tick, recovery, end } = this.#probabilities;
    if (this.#isChosen(pass)) return this.#pass();
    if (this.#isChosen(tick)) return this.#tick();
    if (this.#isChosen(recovery)) return this.#reportHeldPass();
    if (this.#isChosen(end)) return this.#restartRandom();
    this.#deliverPending();
  }

  #deliverPending(): void {
    if (this.#pending.length === 0 || this.#isChosen(PROPOSAL_PROBABILITY)) {
      this.#propose();
    }
    if (this.#pending.length === 0) return;
    const index = this.#random.nextBelow(this.#pending.length);
    const [run] = this.#pending.splice(index, 1);
    if (this.#isChosen(this.#probabilities.repeat)) {
      this.#pending.push(run as () => void);
    }
    if (!this.#isChosen(this.#probabilities.loss)) run?.();
  }

  #pass(): void {
    const next = this.#getEngine(0).state.pass + 1;
    if (this.#engines.some((engine) => !engine.mayBeginPass(next))) return;
    const before = this.#getEngine(0).active.version;
    for (const engine of this.#engines) engine.beginPass(next);
    const versions = new Set(this.#engines.map(({ active }) => active.version));
    if (versions.size > 1) this.#mixedPasses.push(next);
    if (this.#getEngine(0).active.version !== before) this.#switches++;
  }

  #tick(): void {
    this.#now += TICK_MS;
    const process = this.#isChosen(0.5) ? this.#decider : this.#recovery;
    this.#reduce(process, { kind: "tick", now: this.#now });
  }

  /**
   * Reports the held pass to the process that recovers switches, as the holder's sidecar
   * does when it assumes that the pass was abandoned.
   */
  #reportHeldPass(): void {
    const { state } = this.#getEngine(HOLDER);
    if (state.heldPass === undefined) return this.#restart(this.#recovery);
    this.#reduce(this.#recovery, {
      kind: "rank_reported",
      now: this.#now,
      rank: HOLDER,
      report: { kind: "rank_report", state },
    });
  }

  #restartRandom(): void {
    this.#restart(this.#isChosen(0.5) ? this.#decider : this.#recovery);
  }

  #restart(process: Process): void {
    process.incarnation++;
    process.decider = this.#createDecider(process.rank);
  }

  #propose(): void {
    const map: ExpertMap = { layers: [{ experts: [[this.#proposedMaps++]] }] };
    this.#reduce(this.#decider, { kind: "map_proposed", now: this.#now, map });
  }

  #reduce(process: Process, event: DeciderEvent): void {
    for (const effect of process.decider.reduce(event)) {
      this.#perform(process, effect);
    }
  }

  #perform(process: Process, effect: DeciderEffect): void {
    if (effect.kind === "send_query" && process === this.#decider) {
      this.#pending.push(() => this.#report(process, effect.rank));
    }
    if (effect.kind === "send_order") this.#sendOrder(process, effect);
  }

  #sendOrder(process: Process, { rank, orderId, order }: SendOrder): void {
    this.#pending.push(() => {
      this.#pending.push(() => this.#apply(rank, order));
      this.#pending.push(() => this.#report(process, rank, orderId, order));
    });
  }

  /** Reads the state now and reports it later. */
  #report(
    process: Process,
    rank: number,
    orderId?: number,
    order?: RankOrder,
  ): void {
    const { incarnation } = process;
    const { state } = this.#getEngine(rank);
    const isDone = order && isExecuted(order, state);
    const experts = [[rank]];
    this.#pending.push(() => {
      if (incarnation !== process.incarnation) return;
      this.#reduce(process, {
        kind: "rank_reported",
        now: this.#now,
        rank,
        report: { kind: "rank_report", state, orderId, isDone, experts },
      });
    });
  }

  #apply(rank: number, order: RankOrder): void {
    const engine = this.#getEngine(rank);
    const isAccepted = engine.execute(toEngineOrder(order));
    if (!isAccepted || !("version" in order)) return;
    if (order.kind === "fence") return engine.finishLoading(order.version);
    if (order.kind !== "prepare") return;
    this.#pending.push(() => engine.finishLoading(order.version));
  }

  #isChosen(probability: number): boolean {
    return this.#random.nextFraction() < probability;
  }

  #getEngine(rank: number): FakeFormedEngine {
    return this.#engines[rank] as FakeFormedEngine;
  }
}

function toEngineOrder(order: RankOrder): EngineOrder {
  if (order.kind !== "fence") return order;
  return { ...order, kind: "prepare", map: { layers: [] } };
}
