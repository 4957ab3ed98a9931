import { describe, it } from "node:test";
import {
  assertBetter,
  LEAST_URGENT,
  meanScore,
  MOST_URGENT,
  play,
} from "../testing/burst_cases.ts";

/** Sizes of fleets, and seeds: a run of 720 entries takes ten times one of 41. */
const SIZES = [[3, [1, 2, 3, 4]], [720, [1]]] as const;

describe("a burst before a rank group, with few or many entries", () => {
  for (const burst of [LEAST_URGENT, MOST_URGENT]) {
    for (const [entries, seeds] of SIZES) {
      it(`of ${burst.name} leaves the most urgent on time, ${entries} entries`, () => {
        const [without, with_] = [false, true].map((isPrioritised) =>
          seeds.map((seed) => play(burst, { seed, entries, isPrioritised }))
        );
        assertBetter(meanScore(without ?? []), meanScore(with_ ?? []));
      });
    }
  }
});
