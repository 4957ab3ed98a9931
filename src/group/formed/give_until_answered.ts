/**
 * Gives an engine of another machine an order until it answers.
 *
 * @module
 */
import type { FormedEngine } from "../../external/formed_engine.ts";
import type {
  EngineOrder,
  OrderOutcome,
} from "../../messages/formed_group_types.ts";

/** Times that one order is given, at most: its sender looks then what became of it. */
const MAX_SENDS = 4;

/**
 * What became of an order, as soon as the engine says so.
 *
 * The group may wait for an order to hold a pass, and for one to let it begin, so neither
 * is left to the next look at open orders. One that is carried out late besides does no
 * harm: a pass that has begun cannot be held, and the decider ends a hold that it does not
 * know.
 *
 * @example
 * ```ts
 * await giveUntilAnswered(engine, { kind: "go", epoch: 1, pass: 7 });
 * ```
 */
export async function sendUntilAnswered(
  engine: FormedEngine,
  order: EngineOrder,
): Promise<OrderOutcome> {
  let outcome: OrderOutcome = "unanswered";
  for (let tries = 0; tries < MAX_SENDS; tries++) {
    outcome = await engine.give(order);
    if (outcome !== "unanswered") break;
  }
  return outcome;
}
