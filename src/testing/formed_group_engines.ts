/**
 * Simulates the engines of a formed group: their passes, and the orders that they execute
 * immediately or late. Records passes that began with more than one map.
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import {
  getHolderRank,
  type RankOrderMessage,
  type RankState,
} from "../messages/formed_group_types.ts";
import type { ExpertMap } from "../messages/group_types.ts";
import type { EventQueue } from "./event_queue.ts";
import { FakeFormedEngine } from "./fake_formed_engine.ts";

/** Ranks of the group. */
export const RANKS = 4;
/** The rank whose engine holds passes. */
export const HOLDER = getHolderRank(RANKS);
/** Milliseconds that an engine takes to load a map. */
export const LOAD_MS = 400;

const LATE_MIN_MS = 2000;
const LATE_SPREAD_MS = 10_000;

/** The engines of a formed group. */
export class FormedGroupEngines {
  readonly #queue: EventQueue;
  readonly #random: RandomSource;
  readonly #engines = Array.from(
    { length: RANKS },
    (_, rank) => new FakeFormedEngine(rank, RANKS),
  );
  readonly #mixedPasses: number[] = [];
  #passes = 0;
  #switches = 0;

  /** Creates engines that have not begun a pass. */
  constructor(queue: EventQueue, random: RandomSource) {
    this.#queue = queue;
    this.#random = random;
  }

  /** Passes that began with more than one map. */
  get mixedPasses(): readonly number[] {
    return this.#mixedPasses;
  }

  /** Number of passes that began. */
  get passes(): number {
    return this.#passes;
  }

  /** Number of maps that came into force. */
  get switches(): number {
    return this.#switches;
  }

  /** Returns the state that an engine reports. */
  getState(rank: number): RankState {
    return this.#getEngine(rank).state;
  }

  /** Forms the group again. */
  formAgain(): void {
    for (const engine of this.#engines) engine.formAgain();
  }

  /** Begins the next pass, unless an engine holds it. Returns whether it began. */
  tryBeginPass(): boolean {
    const next = this.#getEngine(0).state.pass + 1;
    if (this.#engines.some((engine) => !engine.mayBeginPass(next))) {
      return false;
    }
    const before = this.#getEngine(0).active.version;
    for (const engine of this.#engines) engine.beginPass(next);
    this.#passes++;
    const maps = new Set(
      this.#engines.map((engine) => JSON.stringify(engine.active)),
    );
    if (maps.size > 1) this.#mixedPasses.push(next);
    if (this.#getEngine(0).active.version !== before) this.#switches++;
    return true;
  }

  /** Executes an order at an engine 2 to 12 s later. */
  executeLate(rank: number, message: RankOrderMessage): void {
    const delayMs = LATE_MIN_MS + this.#random.nextBelow(LATE_SPREAD_MS);
    this.#queue.after(delayMs, () => this.execute(rank, message));
  }

  /**
   * Executes an order at an engine. A fence prepares an empty map, which needs no
   * loading, so it takes effect immediately.
   */
  execute(rank: number, { order }: RankOrderMessage): boolean {
    const engine = this.#getEngine(rank);
    if (order.kind === "fence") {
      const map: ExpertMap = { layers: [] };
      const isFenced = engine.execute({ ...order, kind: "prepare", map });
      if (isFenced) engine.finishLoading(order.version);
      return isFenced;
    }
    const isAccepted = engine.execute(order);
    if (order.kind === "prepare" && isAccepted) {
      this.#queue.after(LOAD_MS, () => engine.finishLoading(order.version));
    }
    return isAccepted;
  }

  #getEngine(rank: number): FakeFormedEngine {
    return this.#engines[rank] as FakeFormedEngine;
  }
}
