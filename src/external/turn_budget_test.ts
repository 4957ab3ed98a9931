import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { TurnBudget } from "./turn_budget.ts";

describe("a budget of work in a turn of the event loop", () => {
  // Guards against work that holds up all else, and against work that never goes on.
  it("is spent by its units, and new in the next turn", async () => {
    const budget = new TurnBudget(3);
    budget.spend(2);
    assert.ok(!budget.isSpent);
    budget.spend(1);
    assert.ok(budget.isSpent);
    await nextTurn();
    assert.ok(!budget.isSpent);
  });
});
