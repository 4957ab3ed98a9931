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
   * Reads the state of the engine.
   *
   * @throws {EngineUnavailableError} when it does not answer
   */
  abstract readState(): Promise<EngineState>;

  /**
   * Sends an order and returns the state of the engine after it. Orders are idempotent,
   * so an order whose reply was lost is sent again.
   *
   * @throws {EngineUnavailableError} when it does not answer
   */
  abstract execute(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<EngineState>;

  /**
   * Reads the tokens counted for each expert and the slowdown of the engine.
   *
   * @throws {EngineUnavailableError} when it does not answer
   */
  abstract readLoad(): Promise<RankLoad>;
}
