import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HoldMargin } from "./hold_margin.ts";

const PASS_MS = 60;

/** Returns the margin in passes after three switches with the same hold duration. */
function getMarginAfter(holdMs: number): number {
  const margin = new HoldMargin();
  for (let switches = 0; switches < 3; switches++) {
    margin.startSwitch(PASS_MS);
    margin.recordHold(holdMs);
  }
  margin.startSwitch(PASS_MS);
  return margin.passes;
}

describe("margin of the pass of a switch", () => {
  /**
   * Guards against a margin shorter than a hold. On busy VMs switches took 250 to 350 ms
   * with a margin of two passes of 60 ms, so each of them blocked the group and made all
   * answers late.
   */
  it("covers the duration of recent holds", () => {
    for (const holdMs of [60, 120, 250, 400]) {
      assert.ok(getMarginAfter(holdMs) * PASS_MS >= holdMs, `${holdMs} ms`);
    }
  });

  it("is short when holds are short", () => {
    assert.ok(getMarginAfter(20) <= 3);
  });

  /**
   * Engines do not answer some orders, so a hold may take twice as long as earlier ones.
   * While passes are short, a late map costs little, but a hold that blocks the group
   * makes the answers of all callers late.
   */
  it("covers a hold of twice the usual duration while passes are short", () => {
    const margin = new HoldMargin();
    for (let switches = 0; switches < 10; switches++) margin.recordHold(120);
    margin.startSwitch(PASS_MS, PASS_MS / 120);
    assert.ok(margin.passes * PASS_MS >= 240);
  });

  it("is shorter while passes exceed the pause objective", () => {
    const margin = new HoldMargin();
    margin.startSwitch(PASS_MS, 1.2);
    const urgent = margin.passes;
    margin.startSwitch(PASS_MS, 0.9);
    assert.ok(urgent < margin.passes);
  });

  it("stays long for some switches after a long hold", () => {
    const margin = new HoldMargin();
    margin.recordHold(400);
    margin.recordHold(50);
    margin.startSwitch(PASS_MS);
    assert.ok(margin.passes * PASS_MS >= 300);
  });

  it("grows when the group waited, while the pass duration is unknown", () => {
    const margin = new HoldMargin();
    margin.startSwitch();
    const first = margin.passes;
    margin.recordArmed(1);
    margin.startSwitch();
    assert.ok(margin.passes > first);
  });
});
