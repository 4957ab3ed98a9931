/**
 * Beside rank 1: finishes a switch whose decider stands still while the group
 * waits. It speaks to the engines itself, since the processes beside them may be
 * what stands still.
 *
 * @module
 */
import type { EventLog } from "../../events/event_log.ts";
import type { FormedEngine } from "../../external/formed_engine.ts";
import { HoldSuspicion, planRescue } from "./rescue.ts";
import type { RankState } from "./types.ts";

/**
 * Milliseconds without a pass after which the engines are asked. A pass takes 40
 * to 100, and a switch holds one for a few at most.
 */
const SUSPICIOUS_MS = 300;

/** Options of a {@link SwitchRescuer}. */
export interface SwitchRescuerOptions {
  /** Makes the way to the engine of another machine. */
  readonly createEngine: (address: string) => FormedEngine;
  readonly log: EventLog;
}

/** Finishes a switch whose decider stands still. */
export class SwitchRescuer {
  readonly #options: SwitchRescuerOptions;
  readonly #suspicion = new HoldSuspicion();
  readonly #engines = new Map<string, FormedEngine>();
  #addresses: readonly string[] = [];
  #isBusy = false;

  /** Knows no engines yet. */
  constructor(options: SwitchRescuerOptions) {
    this.#options = options;
  }

  /** Addresses of the engines of all ranks. */
  setAddresses(addresses: readonly string[]): void {
    this.#addresses = addresses;
  }

  /** Takes in how rank 1's own engine stands. */
  observe(state: RankState, now: number): void {
    const heldMs = this.#suspicion.observe(state, now);
    const isKnown = this.#addresses.length === state.ranks;
    if (heldMs < SUSPICIOUS_MS || this.#isBusy || !isKnown) return;
    this.#isBusy = true;
    void this.#rescue(heldMs).finally(() => this.#isBusy = false);
  }

  async #rescue(heldMs: number): Promise<void> {
    const engines = this.#addresses.map((address) => this.#engineAt(address));
    const states = await Promise.all(engines.map(tryStateOf));
    const byRank = new Map<number, FormedEngine>();
    for (const [index, state] of states.entries()) {
      // Without one of the states nothing can be said of the others.
      if (state === undefined) return;
      byRank.set(state.rank, engines[index] as FormedEngine);
    }
    const orders = planRescue(states.flatMap((state) => state ?? []));
    if (orders.length === 0) return;
    this.#options.log.write("SWITCH_RESCUED", {
      heldMs: Math.round(heldMs),
      order: orders[0]?.order.kind,
      ranks: orders.map(({ rank }) => rank).join(" "),
    });
    await Promise.all(
      orders.map(({ rank, order }) => byRank.get(rank)?.give(order)),
    );
  }

  #engineAt(address: string): FormedEngine {
    let engine = this.#engines.get(address);
    if (engine === undefined) {
      engine = this.#options.createEngine(address);
      this.#engines.set(address, engine);
    }
    return engine;
  }
}

async function tryStateOf(
  engine: FormedEngine,
): Promise<RankState | undefined> {
  try {
    return await engine.tryReadState();
  } catch {
    // Its absence ends this round; the next look begins another.
    return undefined;
  }
}
