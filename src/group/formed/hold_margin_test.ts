import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HoldMargin } from "./hold_margin.ts";

const PASS_MS = 60;

/** Passes ahead at which a switch that takes so long is held, after three such. */
function marginAfter(tookMs: number): number {
  const margin = new HoldMargin();
  for (let switches = 0; switches < 3; switches++) {
    margin.startSwitch(PASS_MS);
    margin.recordHold(tookMs);
  }
  margin.startSwitch(PASS_MS);
  return margin.passes;
}

describe("how far ahead the pass of a switch is held", () => {
  /**
   * The pattern: switches of 250 to 350 ms at busy machines, held two passes of 60 ms
   * ahead, so that each of them kept the group waiting and made all answers late.
   */
  it("leaves time for as long as switches take", () => {
    for (const tookMs of [60, 120, 250, 400]) {
      assert.ok(marginAfter(tookMs) * PASS_MS >= tookMs, `${tookMs} ms`);
    }
  });

  it("is short where switches are quick", () => {
    assert.ok(marginAfter(20) <= 3);
  });

  /**
   * The pattern: engines leave some orders without an answer, so one switch takes twice as
   * long as those before it. With short passes nobody misses the new map; the answers of
   * all callers would miss the pass that is held too long.
   */
  it("bears a switch of twice the usual time while passes are short", () => {
    const margin = new HoldMargin();
    for (let switches = 0; switches < 10; switches++) margin.recordHold(120);
    margin.startSwitch(PASS_MS, PASS_MS / 120);
    assert.ok(margin.passes * PASS_MS >= 240);
  });

  it("is shorter while passes are longer than callers bear", () => {
    const margin = new HoldMargin();
    margin.startSwitch(PASS_MS, 1.2);
    const urgent = margin.passes;
    margin.startSwitch(PASS_MS, 0.9);
    assert.ok(urgent < margin.passes);
  });

  it("remembers one that took long for some switches", () => {
    const margin = new HoldMargin();
    margin.recordHold(400);
    margin.recordHold(50);
    margin.startSwitch(PASS_MS);
    assert.ok(margin.passes * PASS_MS >= 300);
  });

  it("follows whether the group waited, while passes are not timed", () => {
    const margin = new HoldMargin();
    margin.startSwitch();
    const first = margin.passes;
    margin.recordArmed(1);
    margin.startSwitch();
    assert.ok(margin.passes > first);
  });
});
