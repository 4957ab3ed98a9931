/**
 * What the decider of a formed group asks for while it takes in one event.
 *
 * @module
 */
import type { DeciderEffect, DeciderPhase } from "./decider_types.ts";
import type { OpenOrder } from "./open_orders.ts";

/** A phase that begins. */
export interface NewPhase {
  readonly phase: DeciderPhase;
  readonly epoch: number;
  /** Milliseconds that the phase before took. */
  readonly tookMs: number;
}

/** Collects the effects of one event, in order. */
export class DeciderEffects {
  #effects: DeciderEffect[] = [];

  /** The effects since they were cleared. */
  get all(): readonly DeciderEffect[] {
    return this.#effects;
  }

  /** Begins anew; effects that were handed out stay as they are. */
  clear(): void {
    this.#effects = [];
  }

  /** Lets a rank's process give an order, for the first time or once more. */
  sendOrder({ rank, id, order }: OpenOrder, isRepeated: boolean): void {
    this.#effects.push({
      kind: "send_order",
      rank,
      orderId: id,
      order,
      isRepeated,
    });
  }

  /** Asks a rank's process how its engine stands. */
  sendQuery(rank: number): void {
    this.#effects.push({ kind: "send_query", rank });
  }

  /** Notes that a phase begins. */
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

  /** Notes that a map came into force. */
  recordMapInForce(version: number): void {
    this.#effects.push({ kind: "map_in_force", version });
  }
}
