import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  assertBetter,
  BURST_FROM_MS,
  createWorld,
  LEAST_URGENT,
  LONGEST_CALL_MS,
  meanScore,
  MOST_URGENT,
  play,
  SEEDS,
} from "../testing/burst_cases.ts";
import { scoreCalls } from "../testing/burst_score.ts";

describe("a burst of requests to a rank group", () => {
  for (const burst of [LEAST_URGENT, MOST_URGENT]) {
    const { name } = burst;
    const unprioritised = meanScore(
      SEEDS.map((seed) => play(burst, { seed, isPrioritised: false })),
    );

    it(`of ${name} delays the answers of all kinds equally if there is one priority`, () => {
      const { late, onTime } = unprioritised;
      assert.ok(late >= 0.4 && late <= 0.5, `${late} late`);
      const spread = Math.max(...onTime) - Math.min(...onTime);
      assert.ok(spread < 0.1, `${onTime} on time, spread too large`);
    });

    it(`of ${name} does not delay the most urgent requests`, () => {
      const scores = SEEDS.map((seed) => play(burst, { seed }));
      assertBetter(unprioritised, meanScore(scores));
    });
  }

  it("leaves no request waiting if the decider or all entries restart during it", () => {
    const until = BURST_FROM_MS + LEAST_URGENT.lastsMs;
    const faults = [
      { silence: { from: BURST_FROM_MS + 1000, until: until + 1000 } },
      { restartAt: BURST_FROM_MS + 2500 },
    ];
    for (const fault of faults) {
      const simulation = createWorld(LEAST_URGENT, { seed: 1, ...fault });
      const end = until + 3 * LONGEST_CALL_MS;
      const ended = simulation.run(end);
      assert.ok(
        simulation.oldestCallMs < LONGEST_CALL_MS,
        `${simulation.oldestCallMs}`,
      );
      const from = until + LONGEST_CALL_MS;
      const after = scoreCalls(ended, { from, until: end - LONGEST_CALL_MS });
      const served = after.kinds.map((kind) => kind.served);
      assert.ok(Math.min(...served) > 0.97, `${served} served`);
    }
  });
});

describe("a rank group whose services have one priority", () => {
  it("gets the same requests as if its settings were not known", () => {
    const record = (knowsGroup: boolean) => {
      const effects: string[] = [];
      const simulation = createWorld(MOST_URGENT, {
        seed: 1,
        isPrioritised: false,
        knowsGroup,
        onEffect: (effect) => effects.push(JSON.stringify(effect)),
      });
      simulation.run(BURST_FROM_MS + 2 * MOST_URGENT.lastsMs);
      return effects;
    };
    const effects = record(true);
    assert.ok(effects.length > 1000);
    assert.deepEqual(effects, record(false));
  });
});
