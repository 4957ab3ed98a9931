/**
 * Collects the effects of the decider of a formed group for one event.
 *
 * @module
 */
import type { DeciderEffect, DeciderPhase } from "./decider_types.ts";
import type { OpenOrder } from "./open_orders.ts";

/** A phase that was entered. */
export interface NewPhase {
  readonly phase: DeciderPhase;
  readonly epoch: number;
  /** Duration of the previous phase in milliseconds. */
  readonly tookMs: number;
}

/** Collects the effects of one event, in order. */
export class DeciderEffects {
  #effects: DeciderEffect[] = [];

  /** The effects that were added since the last {@link clear}. */
  get all(): readonly DeciderEffect[] {
    return this.#effects;
  }

  /** Starts a new list of effects; lists that were returned earlier do not change. */
  clear(): void {
    this.#effects = [];
  }

  /** Sends an order to a rank, for the first time or again. */
  sendOrder({ rank, id, order }: OpenOrder, isRepeated: boolean): void {
    this.#effects.push({
      kind: "send_order",
      rank,
      orderId: id,
      order,
      isRepeated,
    });
  }

  /** Queries the state of a rank's engine. */
  sendQuery(rank: number): void {
    this.#effects.push({ kind: "send_query", rank });
  }

  /** Records that a phase was entered. */
  recordPhase({ phase, epoch, tookMs }: NewPhase): void {
    this.#effects.push({
      kind: "phase_entered",
      phase: phase.kind,
      epoch,
      version: "version" in phase ? phase.version : undefined,
      pass: "pass" in phase ? phase.pass : undefined,
      tookMs,
    });
  }

  /** Records that a map came into force. */
  recordMapInForce(version: number): void {
    this.#effects.push({ kind: "map_in_force", version });
  }
}
