import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  assertBetter,
  BURST_START_MS,
  computeMeanScore,
  createSimulation,
  LEAST_URGENT_BURST,
  MAX_CALL_MS,
  MOST_URGENT_BURST,
  runBurst,
  SEEDS,
} from "../testing/burst_cases.ts";
import { scoreCalls } from "../testing/burst_score.ts";

describe("a burst of requests to a rank group", () => {
  for (const burst of [LEAST_URGENT_BURST, MOST_URGENT_BURST]) {
    const { name } = burst;
    const unprioritised = computeMeanScore(
      SEEDS.map((seed) => runBurst(burst, { seed, isPrioritised: false })),
    );

    it(`of ${name} delays the answers of all kinds equally if there is one priority`, () => {
      const { lateFraction, onTimeFractions } = unprioritised;
      assert.ok(
        lateFraction >= 0.4 && lateFraction <= 0.5,
        `${lateFraction} late`,
      );
      const spread = Math.max(...onTimeFractions) -
        Math.min(...onTimeFractions);
      assert.ok(spread < 0.1, `${onTimeFractions} on time, spread too large`);
    });

    it(`of ${name} does not delay the most urgent requests`, () => {
      const scores = SEEDS.map((seed) => runBurst(burst, { seed }));
      assertBetter(unprioritised, computeMeanScore(scores));
    });
  }

  it("leaves no request waiting if the decider or all entries restart during it", () => {
    const until = BURST_START_MS + LEAST_URGENT_BURST.durationMs;
    const faults = [
      { deciderOutage: { from: BURST_START_MS + 1000, until: until + 1000 } },
      { restartAt: BURST_START_MS + 2500 },
    ];
    for (const fault of faults) {
      const simulation = createSimulation(LEAST_URGENT_BURST, {
        seed: 1,
        ...fault,
      });
      const end = until + 3 * MAX_CALL_MS;
      const ended = simulation.run(end);
      assert.ok(
        simulation.oldestCallMs < MAX_CALL_MS,
        `${simulation.oldestCallMs}`,
      );
      const from = until + MAX_CALL_MS;
      const after = scoreCalls(ended, { from, until: end - MAX_CALL_MS });
      const served = after.kinds.map((kind) => kind.servedFraction);
      assert.ok(Math.min(...served) > 0.97, `${served} served`);
    }
  });
});

describe("a rank group whose services have one priority", () => {
  it("gets the same requests as if its settings were not known", () => {
    const record = (knowsGroup: boolean) => {
      const effects: string[] = [];
      const simulation = createSimulation(MOST_URGENT_BURST, {
        seed: 1,
        isPrioritised: false,
        knowsGroup,
        onEffect: (effect) => effects.push(JSON.stringify(effect)),
      });
      simulation.run(BURST_START_MS + 2 * MOST_URGENT_BURST.durationMs);
      return effects;
    };
    const effects = record(true);
    assert.ok(effects.length > 1000);
    assert.deepEqual(effects, record(false));
  });
});
