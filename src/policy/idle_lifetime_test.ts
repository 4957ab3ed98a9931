import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { IdleLifetime } from "./idle_lifetime.ts";

/**
 * Requests on connections that the servers have forgotten, of those that an entry sends
 * one at a time, each so many milliseconds after the one before.
 */
function countLost(gapMs: number, forgottenAfterMs: number): number {
  const lifetime = new IdleLifetime();
  let lost = 0;
  for (let now = gapMs; now < 40_000; now += gapMs) {
    const isUsed = gapMs < lifetime.getLimitMs(now);
    if (!isUsed || gapMs < forgottenAfterMs) continue;
    lost++;
    lifetime.noteDead(gapMs, now);
  }
  return lost;
}

describe("the lifetime of idle connections", () => {
  it("is as long as servers promise until one is found dead", () => {
    assert.ok(new IdleLifetime().getLimitMs(0) >= 10_000);
  });

  it("falls below the age of the one that was dead", () => {
    const lifetime = new IdleLifetime();
    lifetime.noteDead(600, 100);
    assert.equal(lifetime.getLimitMs(100), 300);
  });

  it("is found again when servers no longer forget", () => {
    const lifetime = new IdleLifetime();
    lifetime.noteDead(600, 0);
    assert.ok(lifetime.getLimitMs(30_000) >= 10_000);
  });

  it("does not grow for a connection that was known to be old", () => {
    const lifetime = new IdleLifetime();
    lifetime.noteDead(600, 0);
    lifetime.noteDead(9000, 10);
    assert.equal(lifetime.getLimitMs(10), 300);
  });

  it("costs at most one request in four seconds, and none without need", () => {
    assert.ok(countLost(500, 300) <= 11);
    assert.equal(countLost(200, 300), 0);
  });
});
