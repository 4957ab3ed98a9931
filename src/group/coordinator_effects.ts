/**
 * What rank 0's decider asks for while it takes in one event: messages to ranks, signed
 * with its number, and what is to be noted.
 *
 * @module
 */
import type {
  CoordinatorEffect,
  Decision,
  Preparing,
  Staging,
} from "./coordinator_types.ts";
import type { CoordinatorMessage, Decider } from "../messages/group_types.ts";

/** Options of {@link CoordinatorEffects}. */
export interface CoordinatorEffectsOptions extends Decider {
  readonly ranks: number;
}

/** Collects the effects of one event, in order. */
export class CoordinatorEffects {
  /** Number that signs every message from now on. */
  epoch: number;
  readonly #ranks: number;
  readonly #decider: string;
  #effects: CoordinatorEffect[] = [];

  /** Has no effect yet. */
  constructor({ ranks, decider, epoch }: CoordinatorEffectsOptions) {
    this.#ranks = ranks;
    this.#decider = decider;
    this.epoch = epoch;
  }

  /** The effects since they were cleared. */
  get all(): readonly CoordinatorEffect[] {
    return this.#effects;
  }

  /** Begins anew; effects that were handed out stay as they are. */
  clear(): void {
    this.#effects = [];
  }

  /** Adds what is no message. */
  add(effect: CoordinatorEffect): void {
    this.#effects.push(effect);
  }

  /** Asks a rank what it has, and binds it to this decider. */
  sendBind(rank: number): void {
    this.#send(rank, { kind: "bind", ...this.#signature() });
  }

  /** Asks a rank to load a map. */
  sendStage(rank: number, { version, map, assemble }: Staging): void {
    const place = { ...this.#signature(), version };
    this.#send(rank, { kind: "stage", ...place, map, assemble });
  }

  /** Asks a rank not to begin a step before the decision. */
  sendPrepare(rank: number, { version, step }: Preparing): void {
    this.#send(rank, { kind: "prepare", ...this.#signature(), version, step });
  }

  /** Tells a rank what was decided upon a version. */
  sendDecision(rank: number, { version, step }: Decision): void {
    if (step === undefined) return this.sendAbort(rank, version);
    this.#send(rank, { kind: "commit", ...this.#signature(), version, step });
  }

  /** Tells a rank that a version was given up. */
  sendAbort(rank: number, version: number): void {
    this.#send(rank, { kind: "abort", ...this.#signature(), version });
  }

  /** Calls back with every rank, in order. */
  forEachRank(callback: (rank: number) => void): void {
    for (let rank = 0; rank < this.#ranks; rank++) callback(rank);
  }

  #signature(): Decider {
    return { epoch: this.epoch, decider: this.#decider };
  }

  #send(rank: number, message: CoordinatorMessage): void {
    this.#effects.push({ kind: "say", rank, message });
  }
}
