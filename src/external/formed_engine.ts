/**
 * The engine of one rank of a group that the platform forms.
 *
 * @module
 */
import type {
  EngineOrder,
  ExpertCounts,
  OrderOutcome,
  RankExperts,
  RankState,
} from "../messages/formed_group_types.ts";

/** Thrown when an engine does not answer. */
export class FormedEngineUnavailableError extends Error {
  override readonly name = "FormedEngineUnavailableError";
}

/** The engine of one rank of a group that the platform forms. */
export abstract class FormedEngine {
  /**
   * Reads the state of the engine; undefined if it belongs to no group.
   *
   * @throws {FormedEngineUnavailableError} when it does not answer
   */
  abstract tryReadState(): Promise<RankState | undefined>;

  /**
   * Reads how often each expert was chosen since the engine started.
   *
   * @throws {FormedEngineUnavailableError} when it does not answer
   */
  abstract readCounts(): Promise<ExpertCounts>;

  /**
   * Reads the experts of the active map that this rank holds.
   *
   * @throws {FormedEngineUnavailableError} when it does not answer
   */
  abstract readExperts(): Promise<RankExperts>;

  /** Sends an order. Never throws; an unanswered order may still take effect. */
  abstract sendOrder(order: EngineOrder): Promise<OrderOutcome>;
}
