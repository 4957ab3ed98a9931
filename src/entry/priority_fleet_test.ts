import { describe, it } from "node:test";
import {
  assertBetter,
  computeMeanScore,
  LEAST_URGENT_BURST,
  MOST_URGENT_BURST,
  runBurst,
} from "../testing/burst_cases.ts";

/**
 * Numbers of entries, and the seeds for each. The large fleet has one seed, as a run of
 * 720 entries takes ten times as long as one of 41.
 */
const SIZES = [[3, [1, 2, 3, 4]], [720, [1]]] as const;

describe("a burst of requests to a rank group, with few or many entries", () => {
  for (const burst of [LEAST_URGENT_BURST, MOST_URGENT_BURST]) {
    for (const [entries, seeds] of SIZES) {
      it(`of ${burst.name} does not delay the most urgent requests, ${entries} entries`, () => {
        const [baseline, prioritised] = [false, true].map((isPrioritised) =>
          seeds.map((seed) => runBurst(burst, { seed, entries, isPrioritised }))
        );
        assertBetter(
          computeMeanScore(baseline ?? []),
          computeMeanScore(prioritised ?? []),
        );
      });
    }
  }
});
