import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { IdleLifetime } from "./idle_lifetime.ts";

/**
 * Counts the requests that an entry sends on dropped connections. It sends one request
 * every `gapMs`, and servers drop idle connections after `droppedAfterMs`.
 */
function countLost(gapMs: number, droppedAfterMs: number): number {
  const lifetime = new IdleLifetime();
  let lostCount = 0;
  for (let now = gapMs; now < 40_000; now += gapMs) {
    const isReused = gapMs < lifetime.getLimitMs(now);
    if (!isReused || gapMs < droppedAfterMs) continue;
    lostCount++;
    lifetime.recordDead(gapMs, now);
  }
  return lostCount;
}

describe("the lifetime of idle connections", () => {
  it("is as long as servers announce until a connection is found dead", () => {
    assert.ok(new IdleLifetime().getLimitMs(0) >= 10_000);
  });

  it("drops below the idle time of a dead connection", () => {
    const lifetime = new IdleLifetime();
    lifetime.recordDead(600, 100);
    assert.equal(lifetime.getLimitMs(100), 300);
  });

  it("recovers when servers no longer drop connections", () => {
    const lifetime = new IdleLifetime();
    lifetime.recordDead(600, 0);
    assert.ok(lifetime.getLimitMs(30_000) >= 10_000);
  });

  it("does not grow when a connection is found dead that had exceeded it", () => {
    const lifetime = new IdleLifetime();
    lifetime.recordDead(600, 0);
    lifetime.recordDead(9000, 10);
    assert.equal(lifetime.getLimitMs(10), 300);
  });

  it("costs at most one request every four seconds, and none if requests are frequent", () => {
    assert.ok(countLost(500, 300) <= 11);
    assert.equal(countLost(200, 300), 0);
  });
});
