/**
 * Collects the effects of rank 0's decider for one event: messages to ranks, which carry
 * the decider's epoch, and log records.
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
  /** Epoch that all further messages carry. */
  epoch: number;
  readonly #ranks: number;
  readonly #decider: string;
  #effects: CoordinatorEffect[] = [];

  /** Creates an empty collection. */
  constructor({ ranks, decider, epoch }: CoordinatorEffectsOptions) {
    this.#ranks = ranks;
    this.#decider = decider;
    this.epoch = epoch;
  }

  /** The effects that were added since the last {@link clear}. */
  get all(): readonly CoordinatorEffect[] {
    return this.#effects;
  }

  /** Starts a new list of effects; lists that were returned earlier do not change. */
  clear(): void {
    this.#effects = [];
  }

  /** Adds an effect other than a message. */
  add(effect: CoordinatorEffect): void {
    this.#effects.push(effect);
  }

  /** Binds a rank to this decider and requests the state of its engine. */
  sendBind(rank: number): void {
    this.#send(rank, { kind: "bind", ...this.#getIdentity() });
  }

  /** Requests that a rank load a map. */
  sendStage(rank: number, { version, map, assemble }: Staging): void {
    const header = { ...this.#getIdentity(), version };
    this.#send(rank, { kind: "stage", ...header, map, assemble });
  }

  /** Requests that a rank not begin a step before the decision. */
  sendPrepare(rank: number, { version, step }: Preparing): void {
    this.#send(rank, {
      kind: "prepare",
      ...this.#getIdentity(),
      version,
      step,
    });
  }

  /** Sends the decision about a version to a rank. */
  sendDecision(rank: number, { version, step }: Decision): void {
    if (step === undefined) return this.sendAbort(rank, version);
    this.#send(rank, { kind: "commit", ...this.#getIdentity(), version, step });
  }

  /** Notifies a rank that a version was aborted. */
  sendAbort(rank: number, version: number): void {
    this.#send(rank, { kind: "abort", ...this.#getIdentity(), version });
  }

  /** Calls a function for every rank in order. */
  forEachRank(callback: (rank: number) => void): void {
    for (let rank = 0; rank < this.#ranks; rank++) callback(rank);
  }

  #getIdentity(): Decider {
    return { epoch: this.epoch, decider: this.#decider };
  }

  #send(rank: number, message: CoordinatorMessage): void {
    this.#effects.push({ kind: "say", rank, message });
  }
}
