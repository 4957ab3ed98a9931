/**
 * The engine of one rank of a lock-step group.
 *
 * @module
 */
import type { EngineOrder, EngineState } from "../group/types.ts";

/** What an engine counted since it was last asked. */
export interface RankLoad {
  /** Tokens a step that this rank computed for each expert of each layer. */
  readonly tokens: readonly (readonly number[])[];
  /** Time of this rank over what its tokens take at usual speed. */
  readonly slowdown: number;
}

/** Thrown when an engine does not answer. */
export class EngineUnavailableError extends Error {
  override readonly name = "EngineUnavailableError";
}

/** The engine of one rank of a lock-step group. */
export abstract class RankEngine {
  /**
   * How the engine stands.
   *
   * @throws {EngineUnavailableError} when it does not answer
   */
  abstract readState(): Promise<EngineState>;

  /**
   * Gives an order and returns how the engine stands after it. Orders are
   * idempotent, so one whose reply was lost is given again.
   *
   * @throws {EngineUnavailableError} when it does not answer
   */
  abstract carryOut(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<EngineState>;

  /**
   * What was counted.
   *
   * @throws {EngineUnavailableError} when it does not answer
   */
  abstract readLoad(): Promise<RankLoad>;
}
