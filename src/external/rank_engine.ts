/**
 * The engine of one rank of a lock-step group.
 *
 * @module
 */
import type {
  EngineOrder,
  EngineState,
  RankLoad,
} from "../messages/group_types.ts";

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
