/**
 * Sends an order to an engine on another VM until it answers.
 *
 * @module
 */
import type { FormedEngine } from "../../external/formed_engine.ts";
import type {
  EngineOrder,
  OrderOutcome,
} from "../../messages/formed_group_types.ts";

/** Maximum number of sends of one order; afterwards the caller checks its effect. */
const MAX_SENDS = 4;

/**
 * Sends an order repeatedly until the engine answers, and returns the outcome.
 *
 * The group may be waiting for an order that holds or releases a pass, so an unanswered
 * one is not left to the next check of open orders. A repeated order that is executed
 * late does no harm: a pass that has begun cannot be held, and the decider ends a hold
 * that it did not expect.
 *
 * @example
 * ```ts
 * await sendUntilAnswered(engine, { kind: "go", epoch: 1, pass: 7 });
 * ```
 */
export async function sendUntilAnswered(
  engine: FormedEngine,
  order: EngineOrder,
): Promise<OrderOutcome> {
  let outcome: OrderOutcome = "unanswered";
  for (let sends = 0; sends < MAX_SENDS; sends++) {
    outcome = await engine.sendOrder(order);
    if (outcome !== "unanswered") break;
  }
  return outcome;
}
